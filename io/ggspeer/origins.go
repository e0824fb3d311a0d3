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

type originsWire []originWire

func originsWireOf(os []ggscore.StreamOrigin) originsWire {
	ws := make(originsWire, 0, len(os))
	for _, o := range os {
		ws = append(ws, originWire{Request: string(o.Request), Service: string(o.Service), Software: string(o.Software)})
	}
	return ws
}

func (w *originsWire) origins() ([]ggscore.StreamOrigin, error) {
	os := make([]ggscore.StreamOrigin, 0, len(*w))
	for _, w := range *w {
		os = append(os, ggscore.StreamOrigin{
			Request: ggscore.RequestID(w.Request), Service: ggscore.Service(w.Service), Software: ggscore.SoftwareVersion(w.Software),
		})
	}
	return os, nil
}
