package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// The exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// An app holds the outputs and the clock that commands use.
type app struct {
	out   io.Writer
	err   io.Writer
	clock func() time.Time
}

// A command is one of the program's commands, with its options.
type command interface {
	run(ctx context.Context, a *app) error
}

// run runs one command line and returns its exit code.
func (a *app) run(ctx context.Context, args []string) int {
	c, err := parse(args)
	if err == nil {
		err = c.run(ctx, a)
	}
	if err == nil {
		return exitOK
	}
	if f := (*flags.Error)(nil); errors.As(err, &f) && f.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(a.out, f.Message)
		return exitOK
	}
	_, _ = fmt.Fprintf(a.err, "ggsload: %v\n", err)
	if f, u := (*flags.Error)(nil), (*usageError)(nil); errors.As(err, &f) || errors.As(err, &u) {
		return exitUsage
	}
	return exitFailure
}

// parse returns the command that the arguments name, with its options set.
func parse(args []string) (command, error) {
	commands := map[string]command{"run": &runCommand{}, "report": &reportCommand{}}
	p := flags.NewNamedParser("ggsload", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddCommand("run", "send requests and record their answers", runLong, commands["run"]); err != nil {
		return nil, errors.Wrap(err, "adding run")
	}
	if _, err := p.AddCommand("report", "compare results", reportLong, commands["report"]); err != nil {
		return nil, errors.Wrap(err, "adding report")
	}
	rest, err := p.ParseArgs(args)
	if err != nil {
		return nil, err
	}
	if p.Active.Name == "run" && len(rest) > 0 {
		return nil, &usageError{detail: "unexpected argument " + rest[0]}
	}
	return commands[p.Active.Name], nil
}
