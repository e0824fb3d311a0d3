package ggsconfig

import (
	"context"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggstoml"
)

// A pendingChange is the state of one change across all attempts to have it accepted.
type pendingChange struct {
	edit    Edit
	change  ggsdocument.Change
	section *ggsdocument.Section
	// sections caches the other sections that were read, by digest.
	sections map[ggscore.Digest]*ggsdocument.Section
	// ambiguous is set once a write of the head may have taken effect. The first
	// such write replaced the head of revision attemptedOn.
	ambiguous   bool
	attemptedOn ggscore.Revision
	// highest is the highest revision read so far.
	highest ggscore.Revision
}

// finalError returns the error that Apply reports after its last attempt. After an
// ambiguous write of the head, only a section conflict or an invalid section is a
// definite failure. Both are derived from a later head, and a compare-and-swap on the
// earlier head can no longer take effect.
func (a *pendingChange) finalError(err error) error {
	if !a.ambiguous {
		return err
	}
	var conflict *ggsdocument.SectionConflictError
	var invalid *ggsdocument.SectionError
	if errors.As(err, &conflict) || errors.As(err, &invalid) {
		return err
	}
	return &UnknownOutcomeError{
		Change: a.change.ID, Section: a.change.Section, BaseRevision: a.change.BaseRevision, Cause: err,
	}
}

// attempt makes one attempt: it reads the head, checks whether an earlier attempt was
// accepted, validates the whole document and replaces the head by compare-and-swap.
//
// The head's history guards against a lost answer. Without the history, the editor
// would repeat an accepted change over later changes of other editors, or report a
// failure for a change that is in force. Each accepted change stores its ID in the
// head, and attempt searches the head for that ID before it writes. Each write is
// conditional on the head's previous revision, so that a delayed write and its retry
// can't both take effect.
func (e *Editor) attempt(ctx context.Context, a *pendingChange) (Accepted, error) {
	n, h, err := e.readHead(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if h.Revision < a.highest {
		return Accepted{}, &ggsdocument.LowerHeadError{Offered: h.Revision, Have: a.highest}
	}
	a.highest = h.Revision
	if !a.ambiguous {
		a.attemptedOn = h.Revision
	}
	status, r := h.StatusOf(a.change.ID, a.attemptedOn)
	if status == ggsdocument.ChangeAccepted {
		return Accepted{Revision: r}, nil
	}
	if status == ggsdocument.ChangeUnknown {
		return Accepted{}, &HistoryTrimmedError{AttemptedOn: a.attemptedOn, Have: h.Revision}
	}
	next, err := h.Accept(a.change)
	if err != nil {
		return Accepted{}, err
	}
	if h.Sections[a.change.Section].Digest == a.change.Digest {
		return Accepted{Revision: h.Revision, Unchanged: true}, nil
	}
	if err = e.checkDocument(ctx, a, next); err != nil {
		return Accepted{}, err
	}
	if err = writeText(ctx, e.store, a.change.Digest, a.edit.Text); err != nil {
		return Accepted{}, err
	}
	unused := e.readUnused(ctx, next.UnusedTexts(h))
	_, err = e.store.Put(ctx, HeadKey, EncodeHead(next), n.Revision, 0)
	var ambiguous *ggscore.AmbiguousWriteError
	if errors.As(err, &ambiguous) {
		a.ambiguous = true
	}
	if err != nil {
		return Accepted{}, errors.Wrap(err, "replacing the head")
	}
	e.deleteUnused(ctx, unused)
	return Accepted{Revision: next.Revision}, nil
}

// checkDocument validates the whole document of head h, which contains the change.
func (e *Editor) checkDocument(ctx context.Context, a *pendingChange, h ggsdocument.Head) error {
	l := make([]*ggsdocument.Section, 0, len(h.Sections))
	for _, n := range slices.Sorted(maps.Keys(h.Sections)) {
		if n == a.change.Section {
			l = append(l, a.section)
			continue
		}
		s, err := e.readSection(ctx, a, n, h.Sections[n].Digest)
		if err != nil {
			return err
		}
		l = append(l, s)
	}
	_, err := ggsdocument.Build(h.Revision, l)
	var invalid *ggsdocument.SectionError
	if !errors.As(err, &invalid) {
		return err
	}
	text := a.edit.Text
	if invalid.Section != a.change.Section {
		t, readErr := e.readText(ctx, h.Sections[invalid.Section].Digest)
		if readErr != nil {
			return err
		}
		text = t
	}
	return ggstoml.WithLine(err, invalid.Section, text)
}

// readSection reads and parses a section that isn't part of the change.
func (e *Editor) readSection(
	ctx context.Context, a *pendingChange, n ggscore.SectionName, d ggscore.Digest,
) (*ggsdocument.Section, error) {
	if s, found := a.sections[d]; found && s.Name == n {
		return s, nil
	}
	t, err := e.readText(ctx, d)
	if err != nil {
		return nil, err
	}
	s, err := e.codec.ParseSection(n, t)
	if err != nil {
		return nil, err
	}
	a.sections[d] = s
	return s, nil
}

// isRetryable reports whether another attempt may follow an attempt that failed with err.
func isRetryable(err error) bool {
	var conflict *ggscore.ConflictError
	var ambiguous *ggscore.AmbiguousWriteError
	var unavailable *ggscore.StoreUnavailableError
	var busy *ggscore.StoreBusyError
	return errors.As(err, &conflict) || errors.As(err, &ambiguous) || errors.As(err, &unavailable) || errors.As(err, &busy)
}
