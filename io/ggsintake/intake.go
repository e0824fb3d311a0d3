package ggsintake

import (
	"context"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsbudget"
	"greengageslip/io/ggslog"
)

// AnswerTimeout is the time without progress after which an answer that its client doesn't read is given up. It is longer than
// clients wait between two parts of an answer, and than a network path is usually broken.
const AnswerTimeout = 30 * time.Second

// acceptPause is the pause after a failed accept, as for lack of descriptors.
const acceptPause = 20 * time.Millisecond

// Options configure an Intake. All fields are required.
type Options struct {
	Limits ggsbudget.Limits
	// Now is the clock of the network's deadlines.
	Now func() time.Time
	Log log.Logger
}

// An Intake has the connections that a process has accepted. It is safe for concurrent use.
type Intake struct {
	limits ggsbudget.Limits
	now    func() time.Time
	log    log.Logger
	// refused counts connections that were closed at once, and gaveWay those that had to give way later.
	refused, gaveWay atomic.Int64

	mu    sync.Mutex
	table *ggsbudget.Table
	conns map[*ggsbudget.Holder]*Conn
}

var _ ggscore.MemoryBudget = (*Intake)(nil)

// New returns an Intake without connections.
func New(o Options) *Intake {
	return &Intake{limits: o.Limits, now: o.Now, log: o.Log, table: ggsbudget.NewTable(o.Limits), conns: map[*ggsbudget.Holder]*Conn{}}
}

// Limits returns what all clients may take.
func (i *Intake) Limits() ggsbudget.Limits { return i.limits }

// Refused returns the number of connections that were closed at once because they didn't fit.
func (i *Intake) Refused() int64 { return i.refused.Load() }

// GaveWay returns the number of connections that were closed, and of requests that were refused, to make room for others.
func (i *Intake) GaveWay() int64 { return i.gaveWay.Load() }

// Usage returns what all clients have taken.
func (i *Intake) Usage() ggsbudget.Usage {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.table.Usage()
}

// Draw implements ggscore.MemoryBudget. The error is a *ggsbudget.FullError.
func (i *Intake) Draw(bytes int64) (release func(), err error) {
	h := &ggsbudget.Holder{}
	if err := i.draw(func(now time.Time) ([]*ggsbudget.Holder, error) {
		return i.table.Draw(now, h, ggsbudget.KindBody, bytes)
	}); err != nil {
		return nil, err
	}
	return func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.table.End(h)
	}, nil
}

// draw calls a method of the table under the lock, and has its victims give way.
func (i *Intake) draw(f func(now time.Time) ([]*ggsbudget.Holder, error)) error {
	i.mu.Lock()
	holders, err := f(i.now())
	vs := i.take(holders)
	i.mu.Unlock()
	i.gaveWay.Add(int64(len(vs)))
	for _, v := range vs {
		_ = level.Info(i.log).Log("event", ggslog.EventClientGaveWay, "part", v.conn.class, "client", v.conn.RemoteAddr(), "interrupted", v.interrupted)
		v.conn.giveWay(v.interrupted)
	}
	return err
}

// A victim is a connection that has to give way, or the body of whose request is no longer read.
type victim struct {
	conn        *Conn
	interrupted bool
}

// take returns the connections of victims. Those that are closed are forgotten. Intake.mu is held.
func (i *Intake) take(holders []*ggsbudget.Holder) []victim {
	var vs []victim
	for _, h := range holders {
		c := i.conns[h]
		if c == nil {
			continue
		}
		if !h.Interrupted {
			delete(i.conns, h)
		}
		vs = append(vs, victim{conn: c, interrupted: h.Interrupted})
	}
	return vs
}

// Listener returns a listener whose connections count toward the limits. Connections that don't fit are closed.
func (i *Intake) Listener(class ggsbudget.Class, l net.Listener) net.Listener {
	return i.newListener(class, l)
}

// HTTPListener is Listener for clients that speak HTTP. Those that don't fit are refused before their connections are closed.
func (i *Intake) HTTPListener(class ggsbudget.Class, l net.Listener) net.Listener {
	n := i.newListener(class, l)
	n.http = true
	return n
}

func (i *Intake) newListener(class ggsbudget.Class, l net.Listener) *listener {
	n := &listener{Listener: l, intake: i, class: class, closed: make(chan struct{})}
	n.end = sync.OnceFunc(func() { close(n.closed) })
	return n
}

type listener struct {
	net.Listener
	intake *Intake
	class  ggsbudget.Class
	http   bool
	closed chan struct{}
	end    func()
}

// Accept implements net.Listener. A failure to accept a connection, as for lack of descriptors, doesn't end the listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			_ = level.Warn(l.intake.log).Log("event", ggslog.EventAcceptFailed, "part", l.class, "err", err)
			t := time.NewTimer(acceptPause)
			select {
			case <-t.C:
				continue
			case <-l.closed:
				t.Stop()
				return nil, net.ErrClosed
			}
		}
		c, err := l.intake.open(l.class, n)
		if err != nil {
			// Connections that were accepted before may not have been read yet, and so can't give way.
			runtime.Gosched()
			c, err = l.intake.open(l.class, n)
		}
		if err == nil {
			return c, nil
		}
		l.intake.refused.Add(1)
		_ = level.Info(l.intake.log).Log("event", ggslog.EventClientRefused, "part", l.class, "client", n.RemoteAddr(), "err", err)
		l.refuse(n)
	}
}

// refuse closes a connection that doesn't fit. What the client has sent isn't read, since that takes memory.
func (l *listener) refuse(n net.Conn) {
	if l.http {
		// Errors mean that the client has left. A new connection's buffer has room for the answer.
		_ = n.SetWriteDeadline(l.intake.now().Add(refusalTime))
		_, _ = io.WriteString(n, refusal)
	}
	_ = n.Close()
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.end()
	return l.Listener.Close()
}

// open adds a connection.
func (i *Intake) open(class ggsbudget.Class, n net.Conn) (*Conn, error) {
	c := &Conn{Conn: n, intake: i, class: class}
	err := i.draw(func(now time.Time) (victims []*ggsbudget.Holder, err error) {
		c.holder, victims, err = i.table.Open(now, class)
		if err == nil {
			i.conns[c.holder] = c
		}
		return victims, err
	})
	return c, err
}

type connKey struct{}

// connOf returns the connection of a request, nil for one that wasn't accepted by an Intake.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// unwrap returns the connection that n is or wraps, nil if it wasn't accepted by an Intake.
func unwrap(n net.Conn) *Conn {
	for {
		if c, ok := n.(*Conn); ok {
			return c
		}
		w, ok := n.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		n = w.NetConn()
	}
}
