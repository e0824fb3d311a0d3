package main

import (
	"context"
	"maps"
	"slices"
	"text/tabwriter"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggsconfig"
)

const getLong = `Prints a section's text as stored by the platform. The first line
holds the revision that was read, which apply uses. Without SECTION it lists
the sections.`

type getCommand struct {
	Args struct {
		Section string `positional-arg-name:"SECTION"`
	} `positional-args:"yes"`
}

func (c *getCommand) run(ctx context.Context, a *app) error {
	p, err := a.client()
	if err != nil {
		return err
	}
	defer p.Close()
	e := ggsconfig.NewEditor(a.store(p, true), ggsconfig.EditorOptions{})
	if c.Args.Section == "" {
		return c.list(ctx, a, e)
	}
	n := ggscore.SectionName(c.Args.Section)
	t, h, err := e.ReadSection(ctx, n)
	if err != nil {
		return err
	}
	return a.printf("%s%s", sectionHeader(n, h.Revision), t)
}

// list prints the sections and their latest changes.
func (c *getCommand) list(ctx context.Context, a *app, e *ggsconfig.Editor) error {
	h, err := e.ReadHead(ctx)
	if err != nil {
		return err
	}
	if err = a.printf("revision %d\n", h.Revision); err != nil {
		return err
	}
	return printSections(a, h)
}

func printSections(a *app, h ggsdocument.Head) error {
	w := tabwriter.NewWriter(a.streams.out, 0, 0, 2, ' ', 0)
	r := rows{w: w}
	r.add("SECTION", "CHANGED AT", "BY")
	for _, n := range slices.Sorted(maps.Keys(h.Sections)) {
		s := h.Sections[n]
		r.add(string(n), revision(s.Revision), s.By)
	}
	return w.Flush()
}
