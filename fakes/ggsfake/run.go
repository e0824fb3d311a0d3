package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// An address is a flag value with an IP address and a port.
type address struct{ netip.AddrPort }

// UnmarshalFlag implements flags.Unmarshaler.
func (a *address) UnmarshalFlag(s string) error {
	p, err := netip.ParseAddrPort(s)
	if err != nil {
		return err
	}
	a.AddrPort = p
	return nil
}

// streams are the outputs of a command.
type streams struct {
	out io.Writer
	log log.Logger
}

// An executor makes a struct of flags a flags.Commander. Execute does nothing: the parser's
// command handler runs the command, since Execute has no context.
type executor struct{}

// Execute implements flags.Commander.
func (executor) Execute([]string) error { return nil }

// run parses the arguments, runs the command and returns the exit code.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	s := streams{out: out, log: log.NewLogfmtLogger(log.NewSyncWriter(errs))}
	p, err := newParser()
	if err != nil {
		_, _ = fmt.Fprintln(errs, err)
		return exitFailed
	}
	p.CommandHandler = func(c flags.Commander, _ []string) error {
		switch c := c.(type) {
		case builder:
			return serveCommand(ctx, c, s.log)
		case *linkCommand:
			return c.run(ctx, s.log)
		case *siteCommand:
			return c.site().Run(ctx)
		case *callCommand:
			return c.call(ctx, s.out)
		}
		return nil
	}
	_, err = p.ParseArgs(args)
	return exitCode(err, out, errs)
}

func exitCode(err error, out, errs io.Writer) int {
	if err == nil {
		return exitDone
	}
	var bad *BadFlagError
	if errors.As(err, &bad) {
		_, _ = fmt.Fprintln(errs, "ggsfake:", err)
		return exitUsage
	}
	var usage *flags.Error
	if !errors.As(err, &usage) {
		_, _ = fmt.Fprintln(errs, "ggsfake:", err)
		return exitFailed
	}
	if usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, usage.Message)
		return exitDone
	}
	_, _ = fmt.Fprintln(errs, "ggsfake:", usage.Message)
	return exitUsage
}

func newParser() (*flags.Parser, error) {
	p := flags.NewNamedParser("ggsfake", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name string
		help string
		data any
	}{
		{"platform", "Run the key-value service and the list of VMs", &platformCommand{}},
		{"engine", "Run an inference engine", &engineCommand{}},
		{"plain", "Run a plain service that counts its calls", &plainCommand{}},
		{"weights", "Run the weight store", &weightsCommand{}},
		{"link", "Run a network link with a delay and simulated partitions", &linkCommand{}},
		{"site", "Run the users' platform: its metadata store and its endpoints", &siteCommand{}},
		{"call", "Call a test double and print its answer", &callCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.help, c.help+".", c.data); err != nil {
			return nil, err
		}
	}
	return p, nil
}
