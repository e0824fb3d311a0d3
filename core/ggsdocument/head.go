package ggsdocument

import (
	"maps"
	"slices"

	ggscore "greengageslip/core"
)

// HistoryLength is the number of latest changes that a head remembers.
const HistoryLength = 64

// A ChangeID names one change of an operator. It is unique for ever.
type ChangeID string

// A Head is the document's head: its revision, the text of each section by
// digest, and its latest changes, the oldest first. A Head is immutable.
type Head struct {
	Revision ggscore.Revision
	Sections map[ggscore.SectionName]SectionState
	Changes  []AcceptedChange
}

// A SectionState is a section as the head has it.
type SectionState struct {
	Digest ggscore.Digest
	// Revision, By and Change describe the section's latest change.
	Revision ggscore.Revision
	By       string
	Change   ChangeID
}

// An AcceptedChange is a change that made a revision.
type AcceptedChange struct {
	ID       ChangeID
	Revision ggscore.Revision
	Section  ggscore.SectionName
	// Replaced is the digest of the text that the change replaced, zero for a
	// new section.
	Replaced ggscore.Digest
}

// A Change is an operator's change of one section.
type Change struct {
	ID      ChangeID
	Section ggscore.SectionName
	Digest  ggscore.Digest
	// ReadAt is the revision that the operator read before changing.
	ReadAt ggscore.Revision
	By     string
}

// A Fate says what a head shows of a change.
type Fate int

// The fates of changes.
const (
	// FateUnknown means that the history no longer reaches back far enough.
	FateUnknown Fate = iota
	// FateAccepted means that the change made a revision.
	FateAccepted
	// FateNotAccepted means that the change is in no revision up to the head.
	FateNotAccepted
)

// Accept returns the head after a change. It returns a *SectionConflictError
// if the section was changed after the revision that the operator read.
func (h Head) Accept(c Change) (Head, error) {
	if err := h.CheckConflict(c); err != nil {
		return Head{}, err
	}
	n := Head{
		Revision: h.Revision + 1,
		Sections: maps.Clone(h.Sections),
		Changes:  slices.Clone(h.Changes),
	}
	if n.Sections == nil {
		n.Sections = map[ggscore.SectionName]SectionState{}
	}
	replaced := n.Sections[c.Section].Digest
	n.Sections[c.Section] = SectionState{Digest: c.Digest, Revision: n.Revision, By: c.By, Change: c.ID}
	n.Changes = append(n.Changes, AcceptedChange{
		ID: c.ID, Revision: n.Revision, Section: c.Section, Replaced: replaced,
	})
	if drop := len(n.Changes) - HistoryLength; drop > 0 {
		n.Changes = slices.Delete(n.Changes, 0, drop)
	}
	return n, nil
}

// CheckConflict returns the failure, if any, for which a change can't be
// accepted on the head.
func (h Head) CheckConflict(c Change) error {
	if c.ReadAt > h.Revision {
		return &FutureRevisionError{ReadAt: c.ReadAt, Have: h.Revision}
	}
	s, found := h.Sections[c.Section]
	if found && s.Revision > c.ReadAt {
		return &SectionConflictError{
			Section: c.Section, ReadAt: c.ReadAt, Changed: s.Revision, By: s.By, Change: s.Change,
		}
	}
	return nil
}

// Equal reports whether two heads have the same revision and sections. Their
// histories may reach back differently far.
func (h Head) Equal(o Head) bool {
	return h.Revision == o.Revision && maps.Equal(h.Sections, o.Sections)
}

// Dropped returns the texts that a head needs no more and that the head before
// it did: those replaced by the changes that left its history. It keeps texts
// for as long as the history, since a reader may still hold an earlier head.
func (h Head) Dropped(before Head) []ggscore.Digest {
	used := map[ggscore.Digest]bool{{}: true}
	for _, s := range h.Sections {
		used[s.Digest] = true
	}
	for _, c := range h.Changes {
		used[c.Replaced] = true
	}
	var l []ggscore.Digest
	for _, c := range before.Changes {
		if !used[c.Replaced] {
			used[c.Replaced] = true
			l = append(l, c.Replaced)
		}
	}
	return l
}

// FateOf reports what became of a change that was first tried on a head of
// revision tried. It is settled where the change is its section's latest one,
// or where the history reaches back to the revision after tried.
func (h Head) FateOf(id ChangeID, tried ggscore.Revision) (Fate, ggscore.Revision) {
	for _, c := range h.Changes {
		if c.ID == id {
			return FateAccepted, c.Revision
		}
	}
	for _, s := range h.Sections {
		if s.Change == id {
			return FateAccepted, s.Revision
		}
	}
	if h.Revision <= tried {
		return FateNotAccepted, 0
	}
	if len(h.Changes) > 0 && h.Changes[0].Revision <= tried+1 {
		return FateNotAccepted, 0
	}
	return FateUnknown, 0
}
