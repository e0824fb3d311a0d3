package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
)

// A listener holds the flags that all services have.
type listener struct {
	executor
	Listen address `long:"listen" value-name:"ADDR" required:"true" description:"IP address and port to listen on; port 0 selects a free port"`
}

// A service is a test double with its HTTP handler.
type service struct {
	name    string
	handler http.Handler
	// close aborts the work in progress. It may be called twice.
	close func()
	// labels are key-value pairs that the log event listened carries.
	labels []any
}

// A builder is a subcommand that builds and serves a service.
type builder interface {
	build() (service, error)
	serve(ctx context.Context, logger log.Logger, s service) error
}

// serveCommand builds a service and serves it.
func serveCommand(ctx context.Context, b builder, logger log.Logger) error {
	s, err := b.build()
	if err != nil {
		return err
	}
	if s.close != nil {
		defer s.close()
	}
	return b.serve(ctx, logger, s)
}

// serve serves s until the context is done.
func (l *listener) serve(ctx context.Context, logger log.Logger, s service) error {
	var c net.ListenConfig
	n, err := c.Listen(ctx, "tcp", l.Listen.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(n) }()
	fields := []any{"event", "listened", "service", s.name, "addr", n.Addr().String()}
	_ = logger.Log(append(fields, s.labels...)...)
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stop(context.WithoutCancel(ctx), srv, s.close)
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	_ = logger.Log("event", "stopped", "service", s.name)
	return nil
}

// stop lets calls in flight end within stopGrace and then aborts them. A waiting watch would
// otherwise block the exit for up to a minute.
func stop(ctx context.Context, srv *http.Server, abort func()) {
	ctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	if err := srv.Shutdown(ctx); err == nil {
		return
	}
	if abort != nil {
		abort()
	}
	_ = srv.Close()
}

const (
	headerTimeout = 10 * time.Second
	stopGrace     = 2 * time.Second
)
