package ggsconfig

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggstoml"
)

const (
	defaultTries = 12
	defaultPause = 50 * time.Millisecond
)

// An EditorStore is what an Editor needs of the platform's service.
type EditorStore interface {
	ggscore.Reader
	ggscore.Writer
}

// EditorOptions sets an Editor's limits; zero values take the defaults.
type EditorOptions struct {
	// Tries bounds the tries of one change.
	Tries int
	// Pause is the mean pause after the first failed try; it doubles.
	Pause time.Duration
	// Floor is a revision known to be in force. A platform that shows a lower
	// head was restored from an older copy, and changes on it are refused.
	Floor ggscore.Revision
}

// An Editor makes operators' changes.
type Editor struct {
	store   EditorStore
	options EditorOptions
	codec   ggstoml.Codec
}

// An Edit is the new text of a section.
type Edit struct {
	Section ggscore.SectionName
	Text    []byte
	// ReadAt is the revision that the operator read before editing, zero for
	// a section that he believes to be new.
	ReadAt ggscore.Revision
	By     string
	// ID names the change.
	ID ggsdocument.ChangeID
	// Repeated says that the change was applied before, under the same ID and
	// with the same ReadAt, and its outcome wasn't known.
	Repeated bool
}

// Accepted says how a change was accepted. Unchanged says that the section had
// this text already.
type Accepted struct {
	Revision  ggscore.Revision
	Unchanged bool
}

// A Snapshot is the document as the platform's service has it.
type Snapshot struct {
	Head  ggsdocument.Head
	Texts map[ggscore.SectionName][]byte
}

// NewEditor returns an Editor on the platform's service.
func NewEditor(s EditorStore, o EditorOptions) *Editor {
	o.Tries = cmp.Or(o.Tries, defaultTries)
	o.Pause = cmp.Or(o.Pause, defaultPause)
	return &Editor{store: s, options: o}
}

// Apply makes a change and returns the revision that it gave. It fails with a
// *ggsdocument.SectionError where the document would not be valid, with a
// *ggsdocument.SectionConflictError where the section was changed since it was
// read, and with an *UnknownOutcomeError where the change may have been
// accepted.
func (e *Editor) Apply(ctx context.Context, d Edit) (Accepted, error) {
	s, err := e.codec.ParseSection(d.Section, d.Text)
	if err != nil {
		return Accepted{}, err
	}
	a := &attempt{
		edit:    d,
		section: s,
		change: ggsdocument.Change{
			ID: d.ID, Section: d.Section, Digest: ggsdocument.DigestOf(d.Text), BaseRevision: d.ReadAt, By: d.By,
		},
		sections:  map[ggscore.Digest]*ggsdocument.Section{},
		highest:   e.options.Floor,
		ambiguous: d.Repeated,
		tried:     d.ReadAt,
	}
	p := newPauser(e.options.Pause)
	for range e.options.Tries {
		var r Accepted
		if r, err = e.try(ctx, a); err == nil {
			return r, nil
		}
		if !mayTryAgain(err) {
			return Accepted{}, a.settle(err)
		}
		if ctx.Err() != nil || !p.pause(ctx) {
			return Accepted{}, a.settle(err)
		}
	}
	return Accepted{}, a.settle(&TriesSpentError{Tries: e.options.Tries, Cause: err})
}

// Check checks the document with the texts in place of its sections, without
// writing. It returns the document.
func (e *Editor) Check(s Snapshot, texts map[ggscore.SectionName][]byte) (*ggscore.Document, error) {
	all := maps.Clone(s.Texts)
	if all == nil {
		all = map[ggscore.SectionName][]byte{}
	}
	maps.Copy(all, texts)
	return CheckTexts(s.Head.Revision, all)
}

// Read reads the whole document.
func (e *Editor) Read(ctx context.Context) (Snapshot, error) {
	_, h, err := e.readHead(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	s := Snapshot{Head: h, Texts: make(map[ggscore.SectionName][]byte, len(h.Sections))}
	for n, state := range h.Sections {
		if s.Texts[n], err = e.readText(ctx, state.Digest); err != nil {
			return Snapshot{}, err
		}
	}
	return s, nil
}

// ReadHead reads the head.
func (e *Editor) ReadHead(ctx context.Context) (ggsdocument.Head, error) {
	_, h, err := e.readHead(ctx)
	return h, err
}

// ReadSection reads one section's text and the head that it stands in. A
// section that isn't there gives a *NoSectionError.
func (e *Editor) ReadSection(ctx context.Context, n ggscore.SectionName) ([]byte, ggsdocument.Head, error) {
	_, h, err := e.readHead(ctx)
	if err != nil {
		return nil, h, err
	}
	s, found := h.Sections[n]
	if !found {
		return nil, h, &NoSectionError{Section: n}
	}
	t, err := e.readText(ctx, s.Digest)
	return t, h, err
}

// CheckTexts parses and checks a whole document. Its failures are
// *ggsdocument.SectionError with the line where it is known.
func CheckTexts(r ggscore.Revision, texts map[ggscore.SectionName][]byte) (*ggscore.Document, error) {
	l := make([]*ggsdocument.Section, 0, len(texts))
	for _, n := range slices.Sorted(maps.Keys(texts)) {
		s, err := ggstoml.Codec{}.ParseSection(n, texts[n])
		if err != nil {
			return nil, err
		}
		l = append(l, s)
	}
	d, err := ggsdocument.Build(r, l)
	var e *ggsdocument.SectionError
	if errors.As(err, &e) {
		return nil, ggstoml.WithLine(err, e.Section, texts[e.Section])
	}
	return d, err
}

// readHead reads the head and the entry that holds it.
func (e *Editor) readHead(ctx context.Context) (ggscore.Entry, ggsdocument.Head, error) {
	n, err := e.store.Get(ctx, HeadKey)
	if err != nil {
		return n, ggsdocument.Head{}, errors.Wrap(err, "reading the head")
	}
	h, err := DecodeHead(n.Value)
	return n, h, err
}

// readText reads a section's text and verifies it.
func (e *Editor) readText(ctx context.Context, d ggscore.Digest) ([]byte, error) {
	return readText(ctx, e.store, d)
}
