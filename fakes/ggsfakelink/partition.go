package ggsfakelink

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	ggscore "greengageslip/core"
)

// A PartitionMode is how connections to the endpoints fail.
type PartitionMode int

// The modes of a partition.
const (
	// PartitionNone lets all connections pass.
	PartitionNone PartitionMode = iota
	// PartitionHang lets new connections time out. Bytes on open ones are held until the
	// partition ends.
	PartitionHang
	// PartitionReset refuses new connections and closes the open ones.
	PartitionReset
	// PartitionRefuse refuses new connections. Open ones aren't affected.
	PartitionRefuse
)

const (
	// partitionDialTimeout is the time after which a dial in mode PartitionHang fails.
	partitionDialTimeout = 600 * time.Millisecond
	// partitionUserTimeout is the time after which a connection whose bytes are held is closed.
	partitionUserTimeout = 4 * time.Second
)

// A Partition is a Dialer whose endpoints can be made unreachable. It is safe for concurrent use.
type Partition struct {
	dialer ggscore.Dialer

	mu    sync.Mutex
	mode  PartitionMode
	conns map[*partitionedConn]struct{}
	// ended is closed and replaced whenever the mode changes.
	ended chan struct{}
	dials int
}

var _ ggscore.Dialer = (*Partition)(nil)

// NewPartition returns a partition in mode PartitionNone.
func NewPartition(d ggscore.Dialer) *Partition {
	return &Partition{dialer: d, conns: map[*partitionedConn]struct{}{}, ended: make(chan struct{})}
}

// SetMode sets how connections fail from now on.
func (p *Partition) SetMode(m PartitionMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.ended)
	p.ended = make(chan struct{})
	for c := range p.conns {
		switch m {
		case PartitionReset:
			_ = c.Conn.Close()
		case PartitionHang:
			go c.closeAfter(partitionUserTimeout, p.ended)
		case PartitionNone, PartitionRefuse:
		}
	}
}

// Dials returns the number of dials.
func (p *Partition) Dials() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Dial implements ggscore.Dialer.
func (p *Partition) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	switch m, _ := p.state(); m {
	case PartitionHang:
		t := time.NewTimer(partitionDialTimeout)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-t.C:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(addr), Err: os.ErrDeadlineExceeded}
		}
	case PartitionReset, PartitionRefuse:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(addr), Err: syscall.ECONNREFUSED}
	case PartitionNone:
	}
	c, err := p.dialer.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return p.add(c), nil
}

// add returns a connection that the partition affects.
func (p *Partition) add(c net.Conn) net.Conn {
	n := &partitionedConn{Conn: c, partition: p, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[n] = struct{}{}
	return n
}

// state returns the mode and a channel that is closed when it changes.
func (p *Partition) state() (PartitionMode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.ended
}

// A partitionedConn is a connection through a Partition.
type partitionedConn struct {
	net.Conn
	partition *Partition
	once      sync.Once
	closed    chan struct{}
}

var _ syscall.Conn = (*partitionedConn)(nil)

// Read implements net.Conn. It holds what it has read while the partition hangs.
func (c *partitionedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.wait() {
		return 0, syscall.ETIMEDOUT
	}
	return n, err
}

// Write implements net.Conn. It holds the bytes while the partition hangs.
func (c *partitionedConn) Write(b []byte) (int, error) {
	if m, _ := c.partition.state(); m != PartitionHang {
		return c.Conn.Write(b)
	}
	held := append([]byte(nil), b...)
	go func() {
		if c.wait() {
			_, _ = c.Conn.Write(held)
		}
	}()
	return len(b), nil
}

// Close implements net.Conn.
func (c *partitionedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.partition.mu.Lock()
	delete(c.partition.conns, c)
	c.partition.mu.Unlock()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *partitionedConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return s.SyscallConn()
}

// wait waits until the partition doesn't hang, and reports whether the connection is still open.
func (c *partitionedConn) wait() bool {
	for {
		m, changed := c.partition.state()
		if m != PartitionHang {
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}

// closeAfter closes the connection after d, unless the partition changes before.
func (c *partitionedConn) closeAfter(d time.Duration, changed <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		_ = c.Close()
	case <-changed:
	case <-c.closed:
	}
}
