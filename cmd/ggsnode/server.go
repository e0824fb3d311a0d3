package ggsnode

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	"greengageslip/core/ggsbudget"
	"greengageslip/io/ggsconn"
	"greengageslip/io/ggsintake"
	"greengageslip/io/ggspeer"
)

// A server is an HTTP server whose stop cuts off no request that has been read, as long as it has time.
type server struct {
	*http.Server
	drainer  *ggsconn.Drainer
	intake   *ggsintake.Intake
	class    ggsbudget.Class
	listener net.Listener
}

// newServer returns a server of a class of clients. Requests beyond the places in flight are passed to refuse; without it they take
// none.
func newServer(i *ggsintake.Intake, c ggsbudget.Class, handler http.Handler, refuse func(http.ResponseWriter, *http.Request, error)) *server {
	v := &http.Server{
		Handler: i.Handler(handler, refuse), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	s := &server{Server: v, drainer: ggsconn.NewDrainer(v), intake: i, class: c}
	i.Follow(v)
	return s
}

// start serves from now on. A failure ends the process.
func (s *server) start(ctx context.Context, h host, addr netip.AddrPort) error {
	l, err := ggspeer.Network{}.Listen(ctx, addr)
	if err != nil {
		return err
	}
	s.listener = s.drainer.Listener(s.intake.HTTPListener(s.class, l))
	go func() {
		if err := s.Serve(s.listener); err != nil && !errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
			_ = level.Error(h.Log).Log("event", "partFailed", "part", s.class, "err", err)
			_ = h.Shutdowner.Shutdown(fx.ExitCode(exitFailure))
		}
	}()
	_ = level.Info(h.Log).Log("event", "listening", "part", s.class, "addr", addr)
	return nil
}

// stop accepts no more connections and waits for the requests in progress. When the context ends, it closes the connections
// that are left, and returns their number.
func (s *server) stop(ctx context.Context) int {
	// An error means that the listener is closed.
	_ = s.listener.Close()
	left := s.drainer.Drain(ctx)
	// All that is left is cut off, whatever the result.
	_ = s.Close()
	return left
}

// pauseFor waits for a time, or until the context ends.
func pauseFor(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
