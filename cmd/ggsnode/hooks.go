package ggsnode

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsbudget"
	"greengageslip/io/ggsintake"
	"greengageslip/io/ggspeer"
	"greengageslip/io/ggsrpc"
)

const (
	// readHeaderTimeout limits the time for a request's head. An edge's configuration, which has a limit of its own, isn't known when
	// it starts to listen; callers stay well below both.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is the idle time after which connections are closed. Callers on the users' platform go by about 15 s, so they close
	// first.
	idleTimeout = 40 * time.Second
	// maxHeaderBytes limits a request's head.
	maxHeaderBytes = 64 << 10
	// partStopTimeout bounds the wait for requests that don't belong to callers, such as those for metrics, so that a client that
	// doesn't read its answer holds up no stop.
	partStopTimeout = 500 * time.Millisecond
)

// A host adds the parts of a process to its fx lifecycle.
type host struct {
	fx.In

	Lifecycle  fx.Lifecycle
	Shutdowner fx.Shutdowner
	Log        log.Logger
	Intake     *ggsintake.Intake
}

// background runs f from the process's start until its stop. An error of f ends the process.
func (h *host) background(name string, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	h.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				if err := f(ctx); err != nil && ctx.Err() == nil {
					_ = level.Error(h.Log).Log("event", "partFailed", "part", name, "err", err)
					_ = h.Shutdowner.Shutdown(fx.ExitCode(exitFailure))
				}
			}()
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-stop.Done():
				return stop.Err()
			}
		},
	})
}

// serveHTTP serves HTTP from the process's start. At the stop it accepts no new connections and
// waits for the requests in progress, for partStopTimeout at most.
func (h *host) serveHTTP(class ggsbudget.Class, addr netip.AddrPort, handler http.Handler) {
	v := newServer(h.Intake, class, handler, nil)
	h.Lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error { return v.start(ctx, *h, addr) },
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, partStopTimeout)
			defer cancel()
			if left := v.stop(ctx); left > 0 {
				_ = level.Warn(h.Log).Log("event", "requestsCut", "part", class, "connections", left)
			}
			return nil
		},
	})
}

// serveRPC serves RPC calls of other processes from the process's start until its stop.
func (h *host) serveRPC(addr netip.AddrPort, register func(context.Context, *ggsrpc.Server) error) {
	h.servePeerRPC(ggspeer.Network{}, addr, register)
}

// servePeerRPC is like serveRPC, over a network of peers.
func (h *host) servePeerRPC(n ggscore.PeerNetwork, addr netip.AddrPort, register func(context.Context, *ggsrpc.Server) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	h.Lifecycle.Append(fx.Hook{
		OnStart: func(start context.Context) error {
			s := ggsrpc.NewServer()
			s.SetMaxCalls(h.Intake.Limits().Bytes)
			if err := register(ctx, s); err != nil {
				return err
			}
			l, err := n.Listen(start, addr)
			if err != nil {
				return err
			}
			go func() {
				defer close(done)
				if err := s.Serve(ctx, h.Intake.Listener(classCalls, l)); err != nil {
					_ = level.Error(h.Log).Log("event", "partFailed", "part", classCalls, "err", err)
					_ = h.Shutdowner.Shutdown(fx.ExitCode(exitFailure))
				}
			}()
			_ = level.Info(h.Log).Log("event", "listening", "part", classCalls, "addr", addr)
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-stop.Done():
				return stop.Err()
			}
		},
	})
}
