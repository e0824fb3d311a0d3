package main

import "context"

const dumpLong = `Prints the whole state of the process whose state address is
ADDR, as JSON.`

type dumpCommand struct {
	Args struct {
		Addr string `positional-arg-name:"ADDR"`
	} `positional-args:"yes" required:"yes"`
}

func (c *dumpCommand) run(ctx context.Context, a *app) error {
	addr, err := parseAddr("dump", c.Args.Addr)
	if err != nil {
		return err
	}
	b, err := readState(ctx, addr)
	if err != nil {
		return err
	}
	if len(b) > 0 && b[len(b)-1] != '\n' {
		b = append(b, '\n')
	}
	_, err = a.streams.out.Write(b)
	return err
}
