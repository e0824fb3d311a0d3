package main

import (
	"context"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggsconfig"
)

const applyLong = `Replaces a section with the text in FILE, or in standard input for "-".

The change is accepted only if the section has not changed since the revision
that was read. That revision is in the file's first line, as get writes it, or
is given with --revision. Without either, the section must be new. The whole
document is checked first.

Exits with 3 on a conflict, and with 4 if the outcome is unknown: then apply
the same file again with --change and the id shown.`

// changeOptions are the options of commands that change a section.
type changeOptions struct {
	Revision *uint64 `description:"the document's revision that was read" long:"revision" value-name:"N"`
	Change   string  `description:"the id of an earlier change whose outcome is unknown" long:"change" value-name:"ID"`
	By       string  `description:"the operator's name (default: settings or $USER)" long:"by" value-name:"NAME"`
	DryRun   bool    `description:"check and show the result, but write nothing" long:"dry-run"`
	Tries    int     `description:"maximum number of attempts (default: 12)" long:"tries" value-name:"N"`
}

type applyCommand struct {
	changeOptions
	Args struct {
		Section string `positional-arg-name:"SECTION"`
		File    string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

func (c *applyCommand) run(ctx context.Context, a *app) error {
	n := ggscore.SectionName(c.Args.Section)
	t, err := a.readFile(c.Args.File)
	if err != nil {
		return err
	}
	return c.apply(ctx, a, n, c.Args.File, t)
}

// apply replaces a section with a text that was read from a file, with or without a
// header.
func (c *changeOptions) apply(ctx context.Context, a *app, n ggscore.SectionName, file string, text []byte) error {
	t, r, err := cutHeader(n, file, text)
	if err != nil {
		return err
	}
	if c.Revision != nil {
		r = ggscore.Revision(*c.Revision)
	}
	err = c.change(ctx, a, ggsconfig.Edit{Section: n, Text: t, BaseRevision: r})
	return inFile(err, n, file, len(t) < len(text))
}

// change makes a change and prints its result.
func (c *changeOptions) change(ctx context.Context, a *app, d ggsconfig.Edit) error {
	p, err := a.client()
	if err != nil {
		return err
	}
	defer p.Close()
	if c.Tries < 0 {
		return &usageError{detail: "--tries: want at least 1"}
	}
	d.Repeated = c.Change != ""
	d.By, d.ID = c.By, ggsdocument.ChangeID(c.Change)
	if d.By == "" {
		d.By = a.operatorName()
	}
	if d.ID == "" {
		d.ID = a.newChangeID()
	}
	e := ggsconfig.NewEditor(a.store(p, c.DryRun), ggsconfig.EditorOptions{
		MaxAttempts: c.Tries, MinRevision: a.revisionInForce(ctx),
	})
	r, err := e.Apply(ctx, d)
	switch {
	case err != nil:
		return err
	case r.Unchanged:
		return a.printf("unchanged: section %s at revision %d\n", d.Section, r.Revision)
	case c.DryRun:
		return a.printf("dry run: section %s would be accepted as revision %d\n", d.Section, r.Revision)
	}
	return a.printf("accepted: section %s at revision %d (change %s)\n", d.Section, r.Revision, d.ID)
}
