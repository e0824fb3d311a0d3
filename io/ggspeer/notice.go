package ggspeer

import (
	"time"

	ggscore "greengageslip/core"
)

// A Notice announces a prompt's turn at an endpoint to the other VMs, or withdraws it. It is sent
// at once, not with the next heartbeat.
type Notice struct {
	VM ggscore.VMID
	// Number distinguishes the turns of a VM.
	Number uint64
	// Relay is how far the receiver relays the notice.
	Relay    ggscore.Relay
	Service  ggscore.Service
	Endpoint ggscore.EndpointID
	// Wait is the time until the turn begins. It isn't a point in time, because clocks differ
	// between VMs. A datagram's transit time is short compared to a turn.
	Wait   time.Duration
	Tokens int
	// Withdrawn withdraws the turn.
	Withdrawn bool
}

type noticeWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	VM       string
	Number   uint64
	Relay    int
	Service  string
	Endpoint string
	// Wait is in milliseconds.
	Wait   int64
	Tokens int
	Unused bool
}

func noticeWireOf(n Notice) noticeWire {
	return noticeWire{
		VM: string(n.VM), Number: n.Number, Relay: int(n.Relay), Service: string(n.Service), Endpoint: string(n.Endpoint),
		Wait: n.Wait.Milliseconds(), Tokens: n.Tokens, Unused: n.Withdrawn,
	}
}

func (w *noticeWire) notice() (Notice, error) {
	return Notice{
		VM: ggscore.VMID(w.VM), Number: w.Number, Relay: ggscore.Relay(w.Relay), Service: ggscore.Service(w.Service),
		Endpoint: ggscore.EndpointID(w.Endpoint), Wait: time.Duration(w.Wait) * time.Millisecond, Tokens: w.Tokens, Withdrawn: w.Unused,
	}, nil
}
