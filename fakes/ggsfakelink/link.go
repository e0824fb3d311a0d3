package ggsfakelink

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Faults are the state of a link. With the zero value the link forwards without delay.
type Faults struct {
	// Stall holds all bytes until it is reset.
	Stall bool
	// Refuse resets all connections, and closes new ones at once.
	Refuse bool
	// Delay is the one-way delay.
	Delay time.Duration
	// BytesPerSecond is the bandwidth of each direction, shared by all connections. Zero
	// means no limit.
	BytesPerSecond int
}

// Stats are the counters of accepted connections and of forwarded bytes. The last bytes of a broken
// connection are counted although they may not have arrived.
type Stats struct {
	Conns           uint64
	BytesToTarget   uint64
	BytesFromTarget uint64
}

// A Link is a simulated network link. It is safe for concurrent use.
type Link struct {
	target netip.AddrPort

	conns      atomic.Uint64
	toTarget   direction
	fromTarget direction

	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced whenever the faults change.
	changed chan struct{}
}

// A direction holds the counter and the bandwidth schedule of one direction of a link.
type direction struct {
	bytes atomic.Uint64

	mu sync.Mutex
	// idleAt is the time at which the direction has sent all reserved bytes.
	idleAt time.Time
}

// reserve adds bytes to the schedule and returns the time at which they have been sent.
func (n *direction) reserve(now time.Time, bytes, bytesPerSecond int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.idleAt.Before(now) {
		n.idleAt = now
	}
	n.idleAt = n.idleAt.Add(time.Duration(bytes) * time.Second / time.Duration(bytesPerSecond))
	return n.idleAt
}

// New returns a link to the target without faults.
func New(target netip.AddrPort) *Link {
	return &Link{target: target, changed: make(chan struct{})}
}

// Serve forwards the connections of the listener until the context is done. It closes the
// listener and returns when all connections have ended.
func (l *Link) Serve(ctx context.Context, n net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = n.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := n.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = c.Close()
			}
			return nil
		}
		if err != nil {
			cancel()
			return err
		}
		l.conns.Add(1)
		wg.Go(func() { l.forward(ctx, c) })
	}
}

// SetFaults replaces the faults.
func (l *Link) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Stats returns the counters.
func (l *Link) Stats() Stats {
	return Stats{
		Conns:           l.conns.Load(),
		BytesToTarget:   l.toTarget.bytes.Load(),
		BytesFromTarget: l.fromTarget.bytes.Load(),
	}
}

// state returns the faults and a channel that is closed at their next change.
func (l *Link) state() (Faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.changed
}
