package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/diff"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsconfig"
)

const diffLong = `Shows what applying FILE to SECTION would change, as a unified
diff. "-" reads standard input. Prints nothing if nothing would change.`

type diffCommand struct {
	Args struct {
		Section string `positional-arg-name:"SECTION"`
		File    string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

func (c *diffCommand) run(ctx context.Context, a *app) error {
	n := ggscore.SectionName(c.Args.Section)
	t, err := a.readFile(c.Args.File)
	if err != nil {
		return err
	}
	t, _, err = cutHeader(n, c.Args.File, t)
	if err != nil {
		return err
	}
	p, err := a.client()
	if err != nil {
		return err
	}
	defer p.Close()
	old, h, err := ggsconfig.NewEditor(a.store(p, true), ggsconfig.EditorOptions{}).ReadSection(ctx, n)
	var none *ggsconfig.NoSectionError
	if err != nil && !errors.As(err, &none) {
		return err
	}
	name := fmt.Sprintf("%s (revision %d)", n, h.Revision)
	return a.printf("%s", diff.Diff(name, old, c.Args.File, t))
}
