package ggsfakelink

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// A chunk is a block of bytes in transit. A chunk without data is the end of a direction, or a reset
// of the connection.
type chunk struct {
	data  []byte
	reset bool
	sent  time.Time
}

// forward forwards one connection until it ends or the link closes it.
func (l *Link) forward(ctx context.Context, client net.Conn) {
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if f, _ := l.state(); f.Refuse || !l.waitPassable(ctx, nil) {
		return
	}
	var d net.Dialer
	target, err := d.DialContext(ctx, "tcp", l.target.String())
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	// Closing the connections is the only way to interrupt pending reads and writes.
	stop := context.AfterFunc(ctx, func() {
		_ = client.Close()
		_ = target.Close()
	})
	defer stop()
	// A close in order would end an answer that ends with its connection.
	abort := func() {
		resetOnClose(client)
		resetOnClose(target)
		cancel()
	}
	var watchers, copiers sync.WaitGroup
	watchers.Go(func() { l.watchRefusal(ctx, abort) })
	copiers.Go(func() { l.copyDirection(ctx, abort, client, target, &l.toTarget) })
	copiers.Go(func() { l.copyDirection(ctx, abort, target, client, &l.fromTarget) })
	copiers.Wait()
	cancel()
	watchers.Wait()
}

// copyDirection copies the bytes of one direction. It forwards the end of the direction as a
// half-close, so that half-closed connections work. Any other end aborts the connection.
func (l *Link) copyDirection(ctx context.Context, abort func(), from, to net.Conn, n *direction) {
	chunks := make(chan chunk, maxQueuedChunks)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { read(ctx, from, chunks) })
	for p := range chunks {
		if !l.waitPassable(ctx, &p) || p.reset {
			abort()
			break
		}
		if len(p.data) == 0 {
			closeWrite(to)
			continue
		}
		if !l.waitBandwidth(ctx, n, len(p.data)) {
			abort()
			break
		}
		// The receiver may answer before Write returns, and read the counter then.
		n.bytes.Add(uint64(len(p.data)))
		if _, err := to.Write(p.data); err != nil {
			abort()
			break
		}
	}
	for range chunks {
		continue
	}
}

// waitPassable waits until the link isn't stalled and the chunk's delay has passed. A nil
// chunk has no delay. It reports whether the connection is still open.
func (l *Link) waitPassable(ctx context.Context, p *chunk) bool {
	for {
		f, changed := l.state()
		wait := time.Duration(0)
		if p != nil {
			wait = time.Until(p.sent.Add(f.Delay))
		}
		if !f.Stall && wait <= 0 {
			return ctx.Err() == nil
		}
		if f.Stall {
			wait = stallPollInterval
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-changed:
		case <-ctx.Done():
		}
		t.Stop()
		if ctx.Err() != nil {
			return false
		}
	}
}

// waitBandwidth waits until the bandwidth has let the bytes pass. It reports whether the
// connection is still open.
func (l *Link) waitBandwidth(ctx context.Context, n *direction, bytes int) bool {
	f, _ := l.state()
	if f.BytesPerSecond <= 0 {
		return true
	}
	now := time.Now() //nolint:forbidigo // a link's bandwidth is real time
	t := time.NewTimer(n.reserve(now, bytes, f.BytesPerSecond).Sub(now))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// watchRefusal aborts a connection when the link begins to refuse.
func (l *Link) watchRefusal(ctx context.Context, abort func()) {
	for {
		f, changed := l.state()
		if f.Refuse {
			abort()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// read sends the bytes of a direction to chunks until the direction ends.
func read(ctx context.Context, from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		b := make([]byte, chunkBytes)
		n, err := from.Read(b)
		if n > 0 && !send(ctx, chunks, chunk{data: b[:n]}) {
			return
		}
		if err != nil {
			send(ctx, chunks, chunk{reset: !errors.Is(err, io.EOF)})
			return
		}
	}
}

func send(ctx context.Context, chunks chan<- chunk, p chunk) bool {
	p.sent = time.Now() //nolint:forbidigo // a link's delay is real time
	select {
	case chunks <- p:
		return true
	case <-ctx.Done():
		return false
	}
}

// resetOnClose makes the close of a connection a reset.
func resetOnClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}

func closeWrite(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if ok {
		_ = t.CloseWrite()
	}
}

const (
	chunkBytes = 32 << 10
	// maxQueuedChunks limits the queue of a direction.
	maxQueuedChunks = 64
	// stallPollInterval is the interval at which a stalled connection checks the faults.
	// A change of the faults wakes it earlier.
	stallPollInterval = time.Second
)
