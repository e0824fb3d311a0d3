package ggspeer

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	ggscore "greengageslip/core"
)

// maxDatagramBytes is the maximum payload of a UDP datagram over IPv4.
const maxDatagramBytes = 65507

// A Conn sends and receives heartbeats, summaries, notices, origins of streams, reports of prompt parts
// and messages about permits over UDP. It is safe for concurrent use.
type Conn struct {
	udp     ggscore.PacketConn
	dropped atomic.Int64
}

// New returns a Conn over a socket.
func New(udp ggscore.PacketConn) *Conn { return &Conn{udp: udp} }

// The first byte of a datagram is its kind.
const (
	kindHeartbeat = 'h'
	kindSummary   = 's'
	kindNotice    = 'n'
	kindOrigins   = 'o'
	kindCrashes   = 'p'

	kindPermitAsk      = 'a'
	kindPermitDecision = 'd'
	kindPermitRelease  = 'r'
	kindPermitRenewal  = 'w'
)

// A Handler has the callbacks for received messages. from is the address of the sender.
type Handler struct {
	Heartbeat func(from netip.AddrPort, h ggscore.Heartbeat)
	Summary   func(from netip.AddrPort, d ggscore.Summary)
	Notice    func(Notice)
	Origins   func([]ggscore.StreamOrigin)
	Crashes   func(ggscore.CrashReport)
	// Messages about permits are without the VM of their PermitID or renewal.
	PermitAsk      func(from netip.AddrPort, a ggscore.PermitAsk)
	PermitDecision func(from netip.AddrPort, d ggscore.PermitDecision)
	PermitRelease  func(from netip.AddrPort, r ggscore.PermitRelease)
	PermitRenewal  func(from netip.AddrPort, r ggscore.PermitRenewal)
}

// Run receives datagrams and calls the handler's callbacks, one at a time, until the context ends.
// The end of the context closes the socket.
func (c *Conn) Run(ctx context.Context, h Handler) error {
	stop := context.AfterFunc(ctx, func() { _ = c.udp.Close() })
	defer stop()
	b := make([]byte, maxDatagramBytes)
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "receiving datagrams")
		}
		if !h.handle(from, b[:n]) {
			c.dropped.Add(1)
		}
	}
}

// handle decodes a datagram and calls its callback. It returns false if decoding fails.
func (h *Handler) handle(from netip.AddrPort, p []byte) bool {
	if len(p) == 0 {
		return false
	}
	switch p[0] {
	case kindHeartbeat:
		return decode(p[1:], (*heartbeatWire).heartbeat, func(b ggscore.Heartbeat) { h.Heartbeat(from, b) })
	case kindSummary:
		return decode(p[1:], (*summaryWire).summary, func(d ggscore.Summary) { h.Summary(from, d) })
	case kindNotice:
		return decode(p[1:], (*noticeWire).notice, h.Notice)
	case kindOrigins:
		return decode(p[1:], (*originsWire).origins, h.Origins)
	case kindCrashes:
		return decode(p[1:], (*crashReportWire).report, h.Crashes)
	case kindPermitAsk:
		return decode(p[1:], (*permitAskWire).ask, func(a ggscore.PermitAsk) { h.PermitAsk(from, a) })
	case kindPermitDecision:
		return decode(p[1:], (*permitDecisionWire).decision, func(d ggscore.PermitDecision) { h.PermitDecision(from, d) })
	case kindPermitRelease:
		return decode(p[1:], (*permitReleaseWire).release, func(r ggscore.PermitRelease) { h.PermitRelease(from, r) })
	case kindPermitRenewal:
		return decode(p[1:], (*permitRenewalWire).renewal, func(r ggscore.PermitRenewal) { h.PermitRenewal(from, r) })
	}
	return false
}

// decode decodes a datagram's array and calls its callback. It returns false if decoding fails.
func decode[W, T any](p []byte, convert func(*W) (T, error), call func(T)) bool {
	var w W
	if cbor.Unmarshal(p, &w) != nil {
		return false
	}
	m, err := convert(&w)
	if err != nil {
		return false
	}
	call(m)
	return true
}

// Dropped returns the number of received datagrams that couldn't be decoded.
func (c *Conn) Dropped() int64 { return c.dropped.Load() }

// Send sends the heartbeat to the addresses. A failed datagram isn't sent again, as if it were
// lost in the network. Send returns the last failure.
func (c *Conn) Send(h ggscore.Heartbeat, to []netip.AddrPort) error {
	return c.send(kindHeartbeat, heartbeatWireOf(h), to)
}

// SendSummary sends the summary to the addresses, like Send.
func (c *Conn) SendSummary(d ggscore.Summary, to []netip.AddrPort) error {
	return c.send(kindSummary, summaryWireOf(d), to)
}

// SendNotice sends the notice to the addresses, like Send.
func (c *Conn) SendNotice(n Notice, to []netip.AddrPort) error {
	return c.send(kindNotice, noticeWireOf(n), to)
}

// SendOrigins sends the records of streams to the addresses, like Send. They are divided into
// datagrams of maxOrigins records.
func (c *Conn) SendOrigins(os []ggscore.StreamOrigin, to []netip.AddrPort) error {
	var last error
	for part := range slices.Chunk(os, maxOrigins) {
		if err := c.send(kindOrigins, originsWireOf(part), to); err != nil {
			last = err
		}
	}
	return last
}

// SendCrashes sends the report to the addresses, like Send.
func (c *Conn) SendCrashes(r ggscore.CrashReport, to []netip.AddrPort) error {
	return c.send(kindCrashes, crashReportWireOf(r), to)
}

func (c *Conn) send(kind byte, w any, to []netip.AddrPort) error {
	if len(to) == 0 {
		return nil
	}
	p, err := cbor.Marshal(w)
	if err != nil {
		return errors.Wrap(err, "encoding datagram")
	}
	p = append([]byte{kind}, p...)
	var last error
	for _, a := range to {
		if _, err := c.udp.WriteToUDPAddrPort(p, a); err != nil {
			last = err
		}
	}
	return last
}
