package main

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggstoml"
	ggsdialect "greengageslip/platform"
)

const validateLong = `Checks sections, each on its own and all together.

A file named services.toml or policy.toml holds that section, one named
market/NAME.toml holds the section market/NAME. SECTION=FILE names the section
of any other file. With --merge the files are checked together with the
platform's other sections. With --vm each file holds the settings that the users'
platform writes for a VM, and every failure is reported with its line.`

type validateCommand struct {
	VM    bool `description:"check settings that the users' platform writes for a VM" long:"vm"`
	Merge bool `description:"check together with the platform's other sections" long:"merge"`
	Args  struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

type sectionFile struct {
	section ggscore.SectionName
	file    string
	header  bool
}

func (c *validateCommand) run(ctx context.Context, a *app) error {
	if c.VM {
		return c.settings(a)
	}
	texts := map[ggscore.SectionName][]byte{}
	files := map[ggscore.SectionName]sectionFile{}
	bad := 0
	for _, arg := range c.Args.Files {
		f, t, err := c.read(a, arg)
		if err != nil {
			return err
		}
		if o, found := files[f.section]; found {
			return &usageError{detail: fmt.Sprintf("both %s and %s hold section %s", o.file, f.file, f.section)}
		}
		texts[f.section], files[f.section] = t, f
		if _, err = (ggstoml.Codec{}).ParseSection(f.section, t); err != nil {
			bad++
			a.report(inFile(err, f.section, f.file, f.header))
		}
	}
	if bad > 0 {
		return &shownError{code: exitUsage}
	}
	d, err := c.check(ctx, a, texts)
	var e *ggsdocument.SectionError
	if errors.As(err, &e) {
		f := files[e.Section]
		return inFile(err, f.section, f.file, f.header)
	}
	if err != nil {
		return err
	}
	return a.printf("valid: %s, %s, %s\n", count(len(texts), "section"), count(len(d.Markets), "market"), count(adapters(d), "adapter"))
}

// settings checks files of VM settings.
func (c *validateCommand) settings(a *app) error {
	bad := false
	for _, f := range c.Args.Files {
		t, err := a.readFile(f)
		if err != nil {
			return err
		}
		if _, err := ggsdialect.DecodeSettings(f, t); err != nil {
			bad = true
			a.report(&usageError{detail: err.Error()})
		}
	}
	if bad {
		return &shownError{code: exitUsage}
	}
	return a.printf("valid: %s\n", count(len(c.Args.Files), "settings file"))
}

// check checks the sections together.
func (c *validateCommand) check(
	ctx context.Context, a *app, texts map[ggscore.SectionName][]byte,
) (*ggscore.Document, error) {
	if !c.Merge {
		return ggsconfig.CheckTexts(0, texts)
	}
	p, err := a.client()
	if err != nil {
		return nil, err
	}
	defer p.Close()
	e := ggsconfig.NewEditor(a.store(p, true), ggsconfig.EditorOptions{})
	s, err := e.Read(ctx)
	if err != nil {
		return nil, err
	}
	return e.Check(s, texts)
}

// read reads the file that an argument names, as FILE or SECTION=FILE.
func (c *validateCommand) read(a *app, arg string) (sectionFile, []byte, error) {
	f := sectionFile{file: arg}
	if n, file, found := strings.Cut(arg, "="); found {
		f.section, f.file = ggscore.SectionName(n), file
	} else {
		f.section = sectionOfFile(arg)
	}
	t, err := a.readFile(f.file)
	if err != nil {
		return f, nil, err
	}
	rest, _, err := cutHeader(f.section, f.file, t)
	f.header = len(rest) < len(t)
	return f, rest, err
}

// sectionOfFile returns the section that a file holds according to its name.
func sectionOfFile(file string) ggscore.SectionName {
	n := strings.TrimSuffix(filepath.Base(file), ".toml")
	dir := filepath.Base(filepath.Dir(file))
	if dir+"/" == ggsdocument.MarketPrefix {
		n = ggsdocument.MarketPrefix + n
	}
	return ggscore.SectionName(n)
}

func adapters(d *ggscore.Document) int {
	n := 0
	for _, m := range d.Markets {
		n += len(m.Adapters)
	}
	return n
}

func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
