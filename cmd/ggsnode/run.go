package ggsnode

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"greengageslip/io/ggslog"
	"greengageslip/io/ggssettings"
)

// The exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const (
	startTimeout = 15 * time.Second
	// stopMargin is the time for the steps of a stop after the draining.
	stopMargin = 10 * time.Second
)

// A commandLine has the options of dispatcher and gateway.
type commandLine struct {
	Settings string `long:"settings" value-name:"FILE" description:"TOML file with the process's settings" required:"true"`
}

// parse reads the command line. If ok is false, the program must end with the code.
func parse(program string, args []string, stdout, stderr io.Writer) (c commandLine, code int, ok bool) {
	code, ok = parseLine(program, &c, args, stdout, stderr)
	return c, code, ok
}

// parseLine reads a command line into c, a pointer to a struct of options.
func parseLine(program string, c any, args []string, stdout, stderr io.Writer) (code int, ok bool) {
	p := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", c); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailure, false
	}
	rest, err := p.ParseArgs(args)
	if f := (*flags.Error)(nil); errors.As(err, &f) && f.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, f.Message)
		return exitOK, false
	}
	if err == nil && len(rest) > 0 {
		err = &UnexpectedArgumentError{Argument: rest[0]}
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return exitUsage, false
	}
	return exitOK, true
}

// runNode runs the parts of a dispatcher or gateway until a signal or the context's end.
func runNode(ctx context.Context, n *ggssettings.Node, l log.Logger, options ...fx.Option) int {
	return runApp(ctx, n.DrainTimeout+stopMargin, l, append(options, fx.Supply(n))...)
}

// runApp runs the parts until a signal or the context's end, and returns the exit code. stopTime
// limits the time of a stop.
func runApp(ctx context.Context, stopTime time.Duration, l log.Logger, options ...fx.Option) int {
	app := fx.New(append(options,
		fx.Provide(func() log.Logger { return l }),
		fx.WithLogger(func() fxevent.Logger { return ggslog.NewFx(l) }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTime),
	)...)
	start, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	if err := app.Start(start); err != nil {
		return exitFailure
	}
	code := exitOK
	select {
	case <-ctx.Done():
	case s := <-app.Wait():
		code = s.ExitCode
	}
	stop, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		return exitFailure
	}
	return code
}
