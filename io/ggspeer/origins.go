package ggspeer

import ggscore "greengageslip/core"

// maxOrigins bounds the records in a datagram. With request IDs of usual length, the datagram then
// fits into one packet.
const maxOrigins = 30

type originWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Request  string
	Service  string
	Software string
}

func originWires(os []ggscore.StreamOrigin) []originWire {
	ws := make([]originWire, 0, len(os))
	for _, o := range os {
		ws = append(ws, originWire{Request: string(o.Request), Service: string(o.Service), Software: string(o.Software)})
	}
	return ws
}

func originsOf(ws []originWire) []ggscore.StreamOrigin {
	os := make([]ggscore.StreamOrigin, 0, len(ws))
	for _, w := range ws {
		os = append(os, ggscore.StreamOrigin{
			Request: ggscore.RequestID(w.Request), Service: ggscore.Service(w.Service), Software: ggscore.SoftwareVersion(w.Software),
		})
	}
	return os
}
