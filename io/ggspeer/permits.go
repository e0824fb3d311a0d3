package ggspeer

import (
	"net/netip"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// maxRenewed bounds the requests in a renewal, so that it fits into one packet.
const maxRenewed = 100

// maxPermitWait bounds the times in asks and decisions.
const maxPermitWait = time.Hour

// Messages about permits don't name the VM whose request it is: it is the sender, or the receiver of a
// decision.

type permitAskWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Number   uint64
	Endpoint string
	Priority int
	// MaxWait is in milliseconds.
	MaxWait int64
}

type permitDecisionWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Number   uint64
	Endpoint string
	Outcome  int
	// RetryAfter is in milliseconds.
	RetryAfter int64
}

type permitReleaseWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Number   uint64
	Endpoint string
	Rejected bool
}

type permitRenewalWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Endpoint string
	InFlight []uint64
	Asking   []uint64
	Through  uint64
}

// SendPermitAsk sends the ask to the address, like Send.
func (c *Conn) SendPermitAsk(a ggscore.PermitAsk, to netip.AddrPort) error {
	return c.send(kindPermitAsk, permitAskWireOf(a), []netip.AddrPort{to})
}

// SendPermitDecision sends the decision to the address, like Send.
func (c *Conn) SendPermitDecision(d ggscore.PermitDecision, to netip.AddrPort) error {
	return c.send(kindPermitDecision, permitDecisionWireOf(d), []netip.AddrPort{to})
}

// SendPermitRelease sends the release to the address, like Send.
func (c *Conn) SendPermitRelease(r ggscore.PermitRelease, to netip.AddrPort) error {
	return c.send(kindPermitRelease, permitReleaseWireOf(r), []netip.AddrPort{to})
}

// SendPermitRenewal sends the renewal to the address, like Send. One of more than maxRenewed requests is
// divided into datagrams that don't say which requests have ended.
func (c *Conn) SendPermitRenewal(r ggscore.PermitRenewal, to netip.AddrPort) error {
	if len(r.InFlight)+len(r.Asking) <= maxRenewed {
		return c.send(kindPermitRenewal, permitRenewalWireOf(r), []netip.AddrPort{to})
	}
	var last error
	for part := range slices.Chunk(r.InFlight, maxRenewed) {
		w := permitRenewalWireOf(ggscore.PermitRenewal{VM: r.VM, Endpoint: r.Endpoint, InFlight: part})
		if err := c.send(kindPermitRenewal, w, []netip.AddrPort{to}); err != nil {
			last = err
		}
	}
	return last
}

func permitAskWireOf(a ggscore.PermitAsk) *permitAskWire {
	return &permitAskWire{
		Number: a.ID.Number, Endpoint: string(a.Endpoint), Priority: int(a.Priority), MaxWait: a.MaxWait.Milliseconds(),
	}
}

func (w *permitAskWire) ask() (ggscore.PermitAsk, error) {
	if w.MaxWait < 0 || w.MaxWait > maxPermitWait.Milliseconds() {
		return ggscore.PermitAsk{}, &AgeError{Milliseconds: w.MaxWait}
	}
	return ggscore.PermitAsk{
		ID: ggscore.PermitID{Number: w.Number}, Endpoint: ggscore.EndpointID(w.Endpoint),
		Priority: ggscore.Priority(w.Priority), MaxWait: time.Duration(w.MaxWait) * time.Millisecond,
	}, nil
}

func permitDecisionWireOf(d ggscore.PermitDecision) *permitDecisionWire {
	return &permitDecisionWire{
		Number: d.ID.Number, Endpoint: string(d.Endpoint), Outcome: int(d.Outcome), RetryAfter: d.RetryAfter.Milliseconds(),
	}
}

func (w *permitDecisionWire) decision() (ggscore.PermitDecision, error) {
	if w.RetryAfter < 0 || w.RetryAfter > maxPermitWait.Milliseconds() {
		return ggscore.PermitDecision{}, &AgeError{Milliseconds: w.RetryAfter}
	}
	return ggscore.PermitDecision{
		ID: ggscore.PermitID{Number: w.Number}, Endpoint: ggscore.EndpointID(w.Endpoint),
		Outcome: ggscore.PermitOutcome(w.Outcome), RetryAfter: time.Duration(w.RetryAfter) * time.Millisecond,
	}, nil
}

func permitReleaseWireOf(r ggscore.PermitRelease) *permitReleaseWire {
	return &permitReleaseWire{Number: r.ID.Number, Endpoint: string(r.Endpoint), Rejected: r.Rejected}
}

func (w *permitReleaseWire) release() (ggscore.PermitRelease, error) {
	return ggscore.PermitRelease{
		ID: ggscore.PermitID{Number: w.Number}, Endpoint: ggscore.EndpointID(w.Endpoint), Rejected: w.Rejected,
	}, nil
}

func permitRenewalWireOf(r ggscore.PermitRenewal) *permitRenewalWire {
	return &permitRenewalWire{Endpoint: string(r.Endpoint), InFlight: r.InFlight, Asking: r.Asking, Through: r.Through}
}

func (w *permitRenewalWire) renewal() (ggscore.PermitRenewal, error) {
	if n := len(w.InFlight) + len(w.Asking); n > maxRenewed {
		return ggscore.PermitRenewal{}, &CountError{Count: n}
	}
	return ggscore.PermitRenewal{
		Endpoint: ggscore.EndpointID(w.Endpoint), InFlight: w.InFlight, Asking: w.Asking, Through: w.Through,
	}, nil
}
