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
	defaultAttempts = 12
	defaultBackoff  = 50 * time.Millisecond
)

// An EditorStore is the part of the platform's service that an Editor uses.
type EditorStore interface {
	ggscore.Reader
	ggscore.Writer
}

// EditorOptions holds an Editor's limits. Zero values select the defaults.
type EditorOptions struct {
	// MaxAttempts is the maximum number of attempts for one change.
	MaxAttempts int
	// InitialBackoff is the mean backoff after the first failed attempt. It doubles with each
	// further attempt.
	InitialBackoff time.Duration
	// MinRevision is a revision known to be in force. A platform with a lower head was
	// restored from an older copy, and changes of that head are refused.
	MinRevision ggscore.Revision
}

// An Editor validates and writes operators' changes of the document.
type Editor struct {
	store   EditorStore
	options EditorOptions
	codec   ggstoml.Codec
}

// An Edit is the new text of a section.
type Edit struct {
	Section ggscore.SectionName
	Text    []byte
	// BaseRevision is the revision that the operator read before editing. It is zero for a
	// section that the operator expects not to exist.
	BaseRevision ggscore.Revision
	By           string
	// ID identifies the change across repetitions.
	ID ggsdocument.ChangeID
	// Repeated marks a change that was applied before with the same ID and BaseRevision,
	// and whose outcome is unknown.
	Repeated bool
}

// Accepted is the result of an accepted change. Unchanged is set if the section already
// had this text. No revision is written then, and Revision is that of the current head.
type Accepted struct {
	Revision  ggscore.Revision
	Unchanged bool
}

// A Snapshot is the document as stored in the platform's service.
type Snapshot struct {
	Head  ggsdocument.Head
	Texts map[ggscore.SectionName][]byte
}

// NewEditor returns an Editor on the platform's service.
func NewEditor(s EditorStore, o EditorOptions) *Editor {
	o.MaxAttempts = cmp.Or(o.MaxAttempts, defaultAttempts)
	o.InitialBackoff = cmp.Or(o.InitialBackoff, defaultBackoff)
	return &Editor{store: s, options: o}
}

// Apply writes a change and returns the resulting revision. It fails with a
// *ggsdocument.SectionError if the document would be invalid, with a
// *ggsdocument.SectionConflictError if the section was changed after it was read, and
// with an *UnknownOutcomeError if the change may have been accepted.
func (e *Editor) Apply(ctx context.Context, d Edit) (Accepted, error) {
	s, err := e.codec.ParseSection(d.Section, d.Text)
	if err != nil {
		return Accepted{}, err
	}
	a := &pendingChange{
		edit:    d,
		section: s,
		change: ggsdocument.Change{
			ID: d.ID, Section: d.Section, Digest: ggsdocument.DigestOf(d.Text), BaseRevision: d.BaseRevision, By: d.By,
		},
		sections:    map[ggscore.Digest]*ggsdocument.Section{},
		highest:     e.options.MinRevision,
		ambiguous:   d.Repeated,
		attemptedOn: d.BaseRevision,
	}
	b := newRetryBackoff(e.options.InitialBackoff)
	for range e.options.MaxAttempts {
		var r Accepted
		if r, err = e.attempt(ctx, a); err == nil {
			return r, nil
		}
		if !isRetryable(err) {
			return Accepted{}, a.finalError(err)
		}
		if ctx.Err() != nil || !b.waitNext(ctx) {
			return Accepted{}, a.finalError(err)
		}
	}
	return Accepted{}, a.finalError(&AttemptsExhaustedError{Attempts: e.options.MaxAttempts, Cause: err})
}

// Check validates the document of a snapshot with texts in place of the sections of the
// same names, and returns that document. It writes nothing.
func (e *Editor) Check(s Snapshot, texts map[ggscore.SectionName][]byte) (*ggscore.Document, error) {
	all := maps.Clone(s.Texts)
	if all == nil {
		all = map[ggscore.SectionName][]byte{}
	}
	maps.Copy(all, texts)
	return CheckTexts(s.Head.Revision, all)
}

// Read reads the head and the text of every section.
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

// ReadHead reads the head. A missing head is the head of an empty document.
func (e *Editor) ReadHead(ctx context.Context) (ggsdocument.Head, error) {
	_, h, err := e.readHead(ctx)
	return h, err
}

// ReadSection reads one section's text and the head that lists the section. It fails
// with a *NoSectionError if the document has no such section.
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

// CheckTexts parses and validates all sections of a document. Its failures are
// *ggsdocument.SectionError, with a line number if the line is known.
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

// readHead reads the head and the store entry that holds it.
func (e *Editor) readHead(ctx context.Context) (ggscore.Entry, ggsdocument.Head, error) {
	n, err := e.store.Get(ctx, HeadKey)
	if err != nil {
		return n, ggsdocument.Head{}, errors.Wrap(err, "reading the head")
	}
	h, err := DecodeHead(n.Value)
	return n, h, err
}

// readText reads a section's text and verifies its digest.
func (e *Editor) readText(ctx context.Context, d ggscore.Digest) ([]byte, error) {
	return readText(ctx, e.store, d)
}
