package ggsfakelink

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Faults are the state of a link. The zero value is a good link without delay.
type Faults struct {
	// Stall holds all bytes until it is taken back.
	Stall bool
	// Refuse breaks connections, and closes new ones at once.
	Refuse bool
	// Delay is how long bytes travel, one way.
	Delay time.Duration
	// BytesPerSecond is the bandwidth of each direction, shared by all connections;
	// zero means unlimited.
	BytesPerSecond int
}

// Stats count what passed.
type Stats struct {
	Conns           uint64
	BytesToTarget   uint64
	BytesFromTarget uint64
}

// A Link is the stand-in. It is safe for concurrent use.
type Link struct {
	target netip.AddrPort

	conns      atomic.Uint64
	toTarget   lane
	fromTarget lane

	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced whenever the faults change.
	changed chan struct{}
}

// A lane is one direction of a link.
type lane struct {
	bytes atomic.Uint64

	mu sync.Mutex
	// free is when the lane has sent all that it was given.
	free time.Time
}

// reserve returns when n more bytes will have passed.
func (n *lane) reserve(now time.Time, bytes, bytesPerSecond int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.free.Before(now) {
		n.free = now
	}
	n.free = n.free.Add(time.Duration(bytes) * time.Second / time.Duration(bytesPerSecond))
	return n.free
}

// New returns a good link to the target.
func New(target netip.AddrPort) *Link {
	return &Link{target: target, changed: make(chan struct{})}
}

// Serve passes connections of the listener on until the context ends. It
// closes the listener and returns when all its work has ended.
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
		wg.Go(func() { l.carry(ctx, c) })
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

// Stats returns the counts so far.
func (l *Link) Stats() Stats {
	return Stats{
		Conns:           l.conns.Load(),
		BytesToTarget:   l.toTarget.bytes.Load(),
		BytesFromTarget: l.fromTarget.bytes.Load(),
	}
}

// state returns the faults and what shows their next change.
func (l *Link) state() (Faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.changed
}
