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

// Options configures a Server.
type Options struct {
	Domain ggscore.Domain
	Limits ggsmember.Limits
	// MinInterval is the minimum time between two heartbeats, urgent updates included.
	MinInterval time.Duration
	// Seeds receive the heartbeats while no other member is known.
	Seeds []netip.AddrPort
}

// DefaultOptions returns the options for a domain.
func DefaultOptions(d ggscore.Domain) Options {
	return Options{Domain: d, Limits: ggsmember.DefaultLimits(), MinInterval: 100 * time.Millisecond}
}

// Stats counts the datagrams that a Server sent, received and rejected since it started. Byte
// counts exclude the headers of IP and UDP.
type Stats struct {
	Sent          uint64
	SentBytes     uint64
	Received      uint64
	ReceivedBytes uint64
	Dropped       uint64
}

// A Server exchanges heartbeats for one dispatcher. It is safe for concurrent use.
type Server struct {
	conn  *net.UDPConn
	clock func() time.Time
	opts  Options
	log   log.Logger
	wake  chan struct{}

	// mu guards the fields below.
	mu          sync.Mutex
	table       *ggsmember.Table
	stats       Stats
	lastMembers []ggsmember.Member
	subscribers []func()
}

// Listen opens the UDP socket of a control address. Errors are of type *ListenError.
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

// New returns a Server that uses the socket. Run closes the socket. self is the dispatcher's own
// member, with the text of a version 7 UUID as incarnation.
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

// Members returns the members that haven't failed, self included, ordered by VM ID.
func (s *Server) Members() []ggsmember.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Members(s.clock())
}

// Run sends and receives heartbeats until ctx ends. It returns nil.
func (s *Server) Run(ctx context.Context) error {
	var g sync.WaitGroup
	g.Go(s.receive)
	g.Go(func() {
		<-ctx.Done()
		_ = s.conn.Close()
	})
	g.Go(func() { s.sendLoop(ctx) })
	g.Wait()
	return nil
}

// SetListed applies a reading of the platform's list. It ignores all VMs but the entry VMs of the
// own domain.
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
	s.handleChange()
}

// SetSelf sets the state of this dispatcher's member. The leaving state is final.
func (s *Server) SetSelf(leaving bool, r ggscore.Revision) {
	s.mu.Lock()
	s.table.SetSelf(leaving, r)
	s.mu.Unlock()
	s.handleChange()
}

// Stats returns the counts since the start.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Subscribe registers f to be called after each change of the membership. Changes of sequence
// numbers don't count. f may call any method of s.
func (s *Server) Subscribe(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// sendLoop sends a heartbeat at each interval, and earlier for an urgent update.
func (s *Server) sendLoop(ctx context.Context) {
	t := time.NewTimer(rand.N(s.opts.Limits.Interval))
	defer t.Stop()
	gap := time.NewTimer(s.opts.MinInterval)
	defer gap.Stop()
	for {
		// Urgent updates wait for MinInterval to end, which bounds the bandwidth and processor
		// time of a burst of updates.
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
		s.handleChange()
		gap.Reset(s.opts.MinInterval)
		t.Reset(s.opts.Limits.Interval)
	}
}

// handleChange wakes sendLoop if an urgent update is pending, and calls the subscribers if the
// membership changed.
func (s *Server) handleChange() {
	s.mu.Lock()
	urgent := s.table.Urgent()
	members := s.table.Members(s.clock())
	for i := range members {
		members[i].Sequence = 0
	}
	same := slices.Equal(members, s.lastMembers)
	s.lastMembers = members
	subscribers := s.subscribers
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
	for _, f := range subscribers {
		f()
	}
}

// receive receives heartbeats until the socket is closed.
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
		s.handleChange()
	}
}

// send sends one heartbeat to each target. A failed datagram isn't sent again, as if it were lost
// in the network.
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
	withMonitor := encode(s.opts.Domain, h)
	h.Monitor = false
	withoutMonitor := encode(s.opts.Domain, h)
	sent := uint64(0)
	bytes := uint64(0)
	for _, t := range to {
		b := withoutMonitor
		if t.Monitor {
			b = withMonitor
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
