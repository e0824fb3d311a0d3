package ggsheartbeat

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsmember"
)

// Options set how heartbeats are sent.
type Options struct {
	Domain ggscore.Domain
	Limits ggsmember.Limits
	// Gap is the least time between two heartbeats, also where there is news.
	Gap time.Duration
	// Seeds are asked while nobody else is known.
	Seeds []netip.AddrPort
}

// DefaultOptions returns the options for a domain.
func DefaultOptions(d ggscore.Domain) Options {
	return Options{Domain: d, Limits: ggsmember.DefaultLimits(), Gap: 100 * time.Millisecond}
}

// Stats counts what a Server sent and received since it started. Bytes are
// those of the datagrams, without headers.
type Stats struct {
	Sent          uint64
	SentBytes     uint64
	Received      uint64
	ReceivedBytes uint64
	Dropped       uint64
}

// A Server exchanges heartbeats for one dispatcher. It is safe for concurrent
// use.
type Server struct {
	conn  *net.UDPConn
	clock func() time.Time
	opts  Options
	log   log.Logger
	wake  chan struct{}

	// mu guards all below.
	mu     sync.Mutex
	table  *ggsmember.Table
	stats  Stats
	last   []ggsmember.Member
	notify []func()
}

// Listen opens the UDP socket of a control address. A failure is a
// *ListenError.
func Listen(ctx context.Context, addr netip.AddrPort) (*net.UDPConn, error) {
	var c net.ListenConfig
	conn, err := c.ListenPacket(ctx, "udp", addr.String())
	if err != nil {
		return nil, &ListenError{Addr: addr, Cause: err}
	}
	u, ok := conn.(*net.UDPConn)
	if !ok {
		return nil, &ListenError{Addr: addr, Cause: net.ErrClosed}
	}
	return u, nil
}

// New returns a Server on a socket, which Run closes. self is the member
// itself, with the text of a version 7 UUID as incarnation.
func New(conn *net.UDPConn, self ggsmember.Member, clock func() time.Time, o Options, l log.Logger) *Server {
	return &Server{
		conn:  conn,
		clock: clock,
		opts:  o,
		log:   l,
		wake:  make(chan struct{}, 1),
		table: ggsmember.NewTable(self, o.Limits),
	}
}

// Members returns those that live, in the order of names.
func (s *Server) Members() []ggsmember.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Members(s.clock())
}

// Run sends and receives until ctx ends. It returns nil.
func (s *Server) Run(ctx context.Context) error {
	var g sync.WaitGroup
	g.Go(s.receive)
	g.Go(func() {
		<-ctx.Done()
		_ = s.conn.Close()
	})
	g.Go(func() { s.beat(ctx) })
	g.Wait()
	return nil
}

// SetListed takes a reading of the platform's list. Entry VMs of the own
// domain count.
func (s *Server) SetListed(vms []ggscore.VM) {
	var own []ggscore.VM
	for _, v := range vms {
		if v.Role == ggscore.RoleEntry && v.Domain == s.opts.Domain {
			own = append(own, v)
		}
	}
	s.mu.Lock()
	s.table.SetListed(s.clock(), own)
	s.mu.Unlock()
	s.changed()
}

// SetSelf says what the member itself is. Leaving is never taken back.
func (s *Server) SetSelf(leaving bool, r ggscore.Revision) {
	s.mu.Lock()
	s.table.SetSelf(leaving, r)
	s.mu.Unlock()
	s.changed()
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Subscribe has f called after the membership changed, apart from sequence
// numbers. f may call any method of s.
func (s *Server) Subscribe(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify = append(s.notify, f)
}

// beat sends heartbeats in time, and sooner where there is news.
func (s *Server) beat(ctx context.Context) {
	t := time.NewTimer(rand.N(s.opts.Limits.Interval))
	defer t.Stop()
	gap := time.NewTimer(s.opts.Gap)
	defer gap.Stop()
	for {
		// News waits for the gap's end, so that a wave of it can't take more
		// than its share of bytes and processor time.
		select {
		case <-gap.C:
		case <-ctx.Done():
			return
		}
		select {
		case <-t.C:
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		s.send()
		s.changed()
		gap.Reset(s.opts.Gap)
		t.Reset(s.opts.Limits.Interval)
	}
}

// changed wakes the sender where there is news, and calls the subscribers
// where the membership changed.
func (s *Server) changed() {
	s.mu.Lock()
	urgent := s.table.Urgent()
	members := s.table.Members(s.clock())
	for i := range members {
		members[i].Sequence = 0
	}
	same := slices.Equal(members, s.last)
	s.last = members
	notify := s.notify
	s.mu.Unlock()
	if urgent {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	if same {
		return
	}
	_ = level.Info(s.log).Log("event", "membershipChanged", "members", len(members))
	for _, f := range notify {
		f()
	}
}

// receive takes heartbeats until the socket is closed.
func (s *Server) receive() {
	var buf [maxDatagramBytes + 1]byte
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		h, err := decode(s.opts.Domain, buf[:n])
		s.mu.Lock()
		s.stats.Received++
		s.stats.ReceivedBytes += uint64(n)
		if err != nil {
			s.stats.Dropped++
			s.mu.Unlock()
			continue
		}
		s.table.Receive(s.clock(), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), h)
		s.mu.Unlock()
		s.changed()
	}
}

// send sends one heartbeat to each target. A datagram that can't be sent is as
// good as lost.
func (s *Server) send() {
	s.mu.Lock()
	now := s.clock()
	to := s.table.Targets(now)
	h := s.table.NextHeartbeat(now)
	s.mu.Unlock()
	if len(to) == 0 {
		for _, a := range s.opts.Seeds {
			to = append(to, ggsmember.Target{Addr: a, Monitor: true})
		}
	}
	h.Monitor = true
	watched := encode(s.opts.Domain, h)
	h.Monitor = false
	plain := encode(s.opts.Domain, h)
	sent := uint64(0)
	bytes := uint64(0)
	for _, t := range to {
		b := plain
		if t.Monitor {
			b = watched
		}
		if _, err := s.conn.WriteToUDPAddrPort(b, t.Addr); err == nil {
			sent++
			bytes += uint64(len(b))
		}
	}
	s.mu.Lock()
	s.stats.Sent += sent
	s.stats.SentBytes += bytes
	s.mu.Unlock()
}
