package ggspeer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	ggscore "greengageslip/core"
)

// maxDatagram is the size of the greatest datagram over IPv4.
const maxDatagram = 65507

// A Conn sends and receives heartbeats, summaries and notices.
type Conn struct {
	udp     *net.UDPConn
	dropped atomic.Int64
}

// Listen opens the socket.
func Listen(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	p, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listening for heartbeats on %s", addr)
	}
	u, ok := p.(*net.UDPConn)
	if !ok {
		_ = p.Close()
		return nil, &SocketError{Addr: addr}
	}
	return &Conn{udp: u}, nil
}

// The kinds of datagrams, their first byte.
const (
	kindHeartbeat = 'h'
	kindSummary   = 's'
	kindNotice    = 'n'
)

// A Handler takes what peers say, with the address that it came from.
type Handler struct {
	Heartbeat func(from netip.AddrPort, h ggscore.Heartbeat)
	Summary   func(from netip.AddrPort, d ggscore.Summary)
	Notice    func(Notice)
}

// Run hands each datagram to the handler until the context ends.
func (c *Conn) Run(ctx context.Context, h Handler) error {
	stop := context.AfterFunc(ctx, func() { _ = c.udp.Close() })
	defer stop()
	b := make([]byte, maxDatagram)
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "receiving heartbeats")
		}
		if !h.take(from, b[:n]) {
			c.dropped.Add(1)
		}
	}
}

// take hands a datagram on, and returns false for one that can't be read.
func (h *Handler) take(from netip.AddrPort, p []byte) bool {
	if len(p) == 0 {
		return false
	}
	switch p[0] {
	case kindHeartbeat:
		var w heartbeatWire
		if cbor.Unmarshal(p[1:], &w) != nil {
			return false
		}
		b, err := w.heartbeat()
		if err != nil {
			return false
		}
		h.Heartbeat(from, b)
		return true
	case kindSummary:
		var w summaryWire
		if cbor.Unmarshal(p[1:], &w) != nil {
			return false
		}
		d, err := w.summary()
		if err != nil {
			return false
		}
		h.Summary(from, d)
		return true
	case kindNotice:
		var w noticeWire
		if cbor.Unmarshal(p[1:], &w) != nil {
			return false
		}
		h.Notice(w.notice())
		return true
	}
	return false
}

// Dropped returns the number of datagrams that couldn't be read.
func (c *Conn) Dropped() int64 { return c.dropped.Load() }

// Send sends the heartbeat to the addresses. A datagram that can't be sent is lost
// like one on the way; the last failure is returned.
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

func (c *Conn) send(kind byte, w any, to []netip.AddrPort) error {
	if len(to) == 0 {
		return nil
	}
	p, err := cbor.Marshal(w)
	if err != nil {
		return errors.Wrap(err, "encoding a datagram")
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
