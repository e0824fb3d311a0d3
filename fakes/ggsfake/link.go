package main

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"greengageslip/fakes/ggsfakelink"
)

// A linkCommand runs a simulated network link. It serves the link's API at Listen and
// forwards TCP connections from From to To.
type linkCommand struct {
	listener
	From  address       `long:"from" value-name:"ADDR" required:"true" description:"IP address and port whose connections are forwarded"`
	To    address       `long:"to" value-name:"ADDR" required:"true" description:"address that connections are forwarded to"`
	Delay time.Duration `long:"delay" default:"0s" description:"one-way delay"`
}

// run serves the link and its API until the context is done.
func (c *linkCommand) run(ctx context.Context, logger log.Logger) error {
	var lc net.ListenConfig
	n, err := lc.Listen(ctx, "tcp", c.From.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	l := ggsfakelink.New(c.To.AddrPort)
	l.SetFaults(ggsfakelink.Faults{Delay: c.Delay})
	linkCtx, stop := context.WithCancel(ctx)
	served := make(chan error, 1)
	go func() { served <- l.Serve(linkCtx, n) }()
	err = c.serve(ctx, logger, service{
		name:    "link",
		handler: l.Handler(),
		labels:  []any{"from", n.Addr().String(), "to", c.To.String()},
	})
	stop()
	return errors.CombineErrors(err, <-served)
}
