package ggsfakelink

import (
	"context"
	"net"
	"sync"
	"time"
)

// A parcel is some bytes under way, or the end of a direction.
type parcel struct {
	data []byte
	sent time.Time
}

// carry passes one connection on until either end or the link breaks it.
func (l *Link) carry(ctx context.Context, near net.Conn) {
	defer func() { _ = near.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if f, _ := l.state(); f.Refuse || !l.passable(ctx, nil) {
		return
	}
	var d net.Dialer
	far, err := d.DialContext(ctx, "tcp", l.target.String())
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	// Reads and writes end only with their connections.
	stop := context.AfterFunc(ctx, func() {
		_ = near.Close()
		_ = far.Close()
	})
	defer stop()
	var watching, passing sync.WaitGroup
	watching.Go(func() { l.watch(ctx, cancel) })
	passing.Go(func() { l.pass(ctx, cancel, near, far, &l.toTarget) })
	passing.Go(func() { l.pass(ctx, cancel, far, near, &l.fromTarget) })
	passing.Wait()
	cancel()
	watching.Wait()
}

// pass moves the bytes of one direction. The end of a direction is passed on
// as such, so that half-closed connections work.
func (l *Link) pass(ctx context.Context, cancel func(), from, to net.Conn, n *lane) {
	parcels := make(chan parcel, parcelsUnderWay)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { read(ctx, from, parcels) })
	for p := range parcels {
		if !l.passable(ctx, &p) {
			cancel()
			break
		}
		if len(p.data) == 0 {
			closeWrite(to)
			continue
		}
		if !l.paced(ctx, n, len(p.data)) {
			cancel()
			break
		}
		if _, err := to.Write(p.data); err != nil {
			cancel()
			break
		}
		n.bytes.Add(uint64(len(p.data)))
	}
	for range parcels {
		continue
	}
}

// passable waits until the link isn't stalled and the parcel's time has come.
// It reports whether the connection still stands.
func (l *Link) passable(ctx context.Context, p *parcel) bool {
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
			wait = stallLook
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

// paced waits until the bandwidth lets so many bytes pass, and reports whether the
// connection still stands.
func (l *Link) paced(ctx context.Context, n *lane, bytes int) bool {
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

// watch breaks a connection when the link begins to refuse.
func (l *Link) watch(ctx context.Context, cancel func()) {
	for {
		f, changed := l.state()
		if f.Refuse {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// read reads a direction to its end.
func read(ctx context.Context, from net.Conn, parcels chan<- parcel) {
	defer close(parcels)
	for {
		b := make([]byte, parcelBytes)
		n, err := from.Read(b)
		if n > 0 && !send(ctx, parcels, b[:n]) {
			return
		}
		if err != nil {
			send(ctx, parcels, nil)
			return
		}
	}
}

func send(ctx context.Context, parcels chan<- parcel, data []byte) bool {
	now := time.Now() //nolint:forbidigo // a link's delay is real time
	select {
	case parcels <- parcel{data: data, sent: now}:
		return true
	case <-ctx.Done():
		return false
	}
}

func closeWrite(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if ok {
		_ = t.CloseWrite()
	}
}

const (
	parcelBytes = 32 << 10
	// parcelsUnderWay bounds what a direction holds.
	parcelsUnderWay = 64
	// stallLook is how often a stalled connection looks by itself; it is woken
	// by changes otherwise.
	stallLook = time.Second
)
