package main

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"greengageslip/fakes/ggsfakelink"
)

// A linkCommand runs a network link. It serves its switches at listen and
// passes on what comes to from.
type linkCommand struct {
	listener
	From  address       `long:"from" value-name:"ADDR" required:"true" description:"IP number and port whose connections are passed on"`
	To    address       `long:"to" value-name:"ADDR" required:"true" description:"where they are passed on to"`
	Delay time.Duration `long:"delay" default:"0s" description:"how long bytes travel, one way"`
}

// run serves the link and its switches until the context ends.
func (c *linkCommand) run(ctx context.Context, logger log.Logger) error {
	var lc net.ListenConfig
	n, err := lc.Listen(ctx, "tcp", c.From.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	l := ggsfakelink.New(c.To.AddrPort)
	l.SetFaults(ggsfakelink.Faults{Delay: c.Delay})
	passing, stop := context.WithCancel(ctx)
	passed := make(chan error, 1)
	go func() { passed <- l.Serve(passing, n) }()
	err = c.serve(ctx, logger, service{
		name:    "link",
		handler: l.Handler(),
		labels:  []any{"from", n.Addr().String(), "to", c.To.String()},
	})
	stop()
	return errors.CombineErrors(err, <-passed)
}
