package main

import (
	"context"
	"strings"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggstoml"
)

const editLong = `Changes values of a section in place with --set KEY=VALUE, which may
be repeated. KEY is a path such as weight or adapters["deposits-es"].current.
Without --set the section's new text is read from standard input, as with apply.`

type editCommand struct {
	changeOptions
	Set  []string `description:"set a value" long:"set" value-name:"KEY=VALUE"`
	Args struct {
		Section string `positional-arg-name:"SECTION"`
	} `positional-args:"yes" required:"yes"`
}

func (c *editCommand) run(ctx context.Context, a *app) error {
	n := ggscore.SectionName(c.Args.Section)
	if len(c.Set) == 0 {
		t, err := a.readFile("-")
		if err != nil {
			return err
		}
		return c.apply(ctx, a, n, "-", t)
	}
	if c.Change != "" && c.Revision == nil {
		return &usageError{detail: "--change needs --revision with the revision of the first attempt"}
	}
	p, err := a.client()
	if err != nil {
		return err
	}
	defer p.Close()
	e := ggsconfig.NewEditor(a.store(p, true), ggsconfig.EditorOptions{})
	t, h, err := e.ReadSection(ctx, n)
	if err != nil {
		return err
	}
	for _, s := range c.Set {
		k, v, found := strings.Cut(s, "=")
		if !found || k == "" {
			return &usageError{detail: "--set " + s + ": want KEY=VALUE"}
		}
		if t, err = ggstoml.Set(string(n), t, strings.TrimSpace(k), strings.TrimSpace(v)); err != nil {
			return err
		}
	}
	r := h.Revision
	if c.Revision != nil {
		r = ggscore.Revision(*c.Revision)
	}
	return c.change(ctx, a, ggsconfig.Edit{Section: n, Text: t, BaseRevision: r})
}
