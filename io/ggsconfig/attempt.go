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

// An attempt is one change through all its tries.
type attempt struct {
	edit    Edit
	change  ggsdocument.Change
	section *ggsdocument.Section
	// sections holds the other sections that were read, by digest.
	sections map[ggscore.Digest]*ggsdocument.Section
	// ambiguous says that a write of the head may have taken effect; the first
	// such write was on the head of revision tried.
	ambiguous bool
	tried     ggscore.Revision
	// highest is the highest revision seen.
	highest ggscore.Revision
}

// settle returns the failure of the whole change. Once a write of the head was
// ambiguous, only an answer that was read from a later head settles it: a
// compare-and-swap on the earlier one can't take effect any more.
func (a *attempt) settle(err error) error {
	if !a.ambiguous {
		return err
	}
	var conflict *ggsdocument.SectionConflictError
	var invalid *ggsdocument.SectionError
	if errors.As(err, &conflict) || errors.As(err, &invalid) {
		return err
	}
	return &UnknownOutcomeError{
		Change: a.change.ID, Section: a.change.Section, ReadAt: a.change.BaseRevision, Cause: err,
	}
}

// try makes one try: it reads the head, looks whether an earlier try was
// accepted, checks the whole document and swaps the head.
//
// The history guards against a lost answer. The writer would repeat an accepted
// change over what others wrote since, or report a failure for a change that is
// in force. The change's id stands in the head that the write made, so it is
// looked for before each write; and each write names the head's previous
// revision, so that of a delayed write and its repetition one at most takes
// effect.
func (e *Editor) try(ctx context.Context, a *attempt) (Accepted, error) {
	n, h, err := e.readHead(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if h.Revision < a.highest {
		return Accepted{}, &ggsdocument.LowerHeadError{Offered: h.Revision, Have: a.highest}
	}
	a.highest = h.Revision
	if !a.ambiguous {
		a.tried = h.Revision
	}
	fate, r := h.StatusOf(a.change.ID, a.tried)
	if fate == ggsdocument.ChangeAccepted {
		return Accepted{Revision: r}, nil
	}
	if fate == ggsdocument.ChangeUnknown {
		return Accepted{}, &HistoryPassedError{Tried: a.tried, Have: h.Revision}
	}
	next, err := h.Accept(a.change)
	if err != nil {
		return Accepted{}, err
	}
	if h.Sections[a.change.Section].Digest == a.change.Digest {
		return Accepted{Revision: h.Revision, Unchanged: true}, nil
	}
	if err = e.checkWith(ctx, a, next); err != nil {
		return Accepted{}, err
	}
	if err = writeText(ctx, e.store, a.change.Digest, a.edit.Text); err != nil {
		return Accepted{}, err
	}
	dropped := e.readDropped(ctx, next.UnusedTexts(h))
	_, err = e.store.Put(ctx, HeadKey, EncodeHead(next), n.Revision, 0)
	var lost *ggscore.AmbiguousWriteError
	if errors.As(err, &lost) {
		a.ambiguous = true
	}
	if err != nil {
		return Accepted{}, errors.Wrap(err, "swapping the head")
	}
	e.deleteDropped(ctx, dropped)
	return Accepted{Revision: next.Revision}, nil
}

// checkWith checks the whole document of a head that has the change.
func (e *Editor) checkWith(ctx context.Context, a *attempt, h ggsdocument.Head) error {
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

// readSection reads and parses a section that the change doesn't touch.
func (e *Editor) readSection(
	ctx context.Context, a *attempt, n ggscore.SectionName, d ggscore.Digest,
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

// mayTryAgain reports whether a failed try may be followed by another one.
func mayTryAgain(err error) bool {
	var conflict *ggscore.ConflictError
	var lost *ggscore.AmbiguousWriteError
	var away *ggscore.StoreUnavailableError
	var busy *ggscore.StoreBusyError
	return errors.As(err, &conflict) || errors.As(err, &lost) || errors.As(err, &away) || errors.As(err, &busy)
}
