package ggsdocument

import (
	"maps"
	"slices"

	ggscore "greengageslip/core"
)

// HistoryLength is the maximum number of changes in a head's history.
const HistoryLength = 64

// A ChangeID identifies one change by an operator. It is globally unique.
type ChangeID string

// A Head describes a state of the document: its revision, the digest of each section's
// text, and its latest changes, the oldest first. A Head is immutable.
type Head struct {
	Revision ggscore.Revision
	Sections map[ggscore.SectionName]SectionState
	Changes  []AcceptedChange
}

// A SectionState is the state of a section in a head.
type SectionState struct {
	Digest ggscore.Digest
	// Revision, By and Change describe the section's latest change.
	Revision ggscore.Revision
	By       string
	Change   ChangeID
}

// An AcceptedChange is a change in a head's history.
type AcceptedChange struct {
	ID       ChangeID
	Revision ggscore.Revision
	Section  ggscore.SectionName
	// Replaced is the digest of the text that the change replaced, zero for a new section.
	Replaced ggscore.Digest
}

// A Change is an operator's change of one section.
type Change struct {
	ID      ChangeID
	Section ggscore.SectionName
	Digest  ggscore.Digest
	// BaseRevision is the revision that the operator read before the change.
	BaseRevision ggscore.Revision
	By           string
}

// A ChangeStatus is the outcome of a change as far as a head shows it.
type ChangeStatus int

// The outcomes of changes.
const (
	// ChangeUnknown means that the history doesn't reach back far enough to decide.
	ChangeUnknown ChangeStatus = iota
	// ChangeAccepted means that the change was accepted as a revision.
	ChangeAccepted
	// ChangeNotAccepted means that the change is in no revision up to the head.
	ChangeNotAccepted
)

// Accept returns the head after a change. It fails with a *SectionConflictError if the
// section was changed after the revision that the operator read, or with a
// *FutureRevisionError if that revision is newer than the head.
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
	if excess := len(n.Changes) - HistoryLength; excess > 0 {
		n.Changes = slices.Delete(n.Changes, 0, excess)
	}
	return n, nil
}

// CheckConflict returns the error with which Accept would reject a change, or nil.
func (h Head) CheckConflict(c Change) error {
	if c.BaseRevision > h.Revision {
		return &FutureRevisionError{BaseRevision: c.BaseRevision, Have: h.Revision}
	}
	s, found := h.Sections[c.Section]
	if found && s.Revision > c.BaseRevision {
		return &SectionConflictError{
			Section: c.Section, BaseRevision: c.BaseRevision, Changed: s.Revision, By: s.By, Change: s.Change,
		}
	}
	return nil
}

// Equal reports whether two heads have the same revision and sections. Their histories
// may have different lengths.
func (h Head) Equal(o Head) bool {
	return h.Revision == o.Revision && maps.Equal(h.Sections, o.Sections)
}

// UnusedTexts returns the digests of texts that the previous head needed and this head doesn't.
// A replaced text stays in use while the change that replaced it is in the history, since a
// reader may still hold an earlier head.
func (h Head) UnusedTexts(before Head) []ggscore.Digest {
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

// StatusOf returns the outcome of a change that was first attempted on a head of revision
// attemptedAt, and the change's revision if it was accepted. The outcome is known if
// the change is in the history or is the latest one of its section, or if the history
// reaches back to the revision after attemptedAt.
func (h Head) StatusOf(id ChangeID, attemptedAt ggscore.Revision) (ChangeStatus, ggscore.Revision) {
	for _, c := range h.Changes {
		if c.ID == id {
			return ChangeAccepted, c.Revision
		}
	}
	for _, s := range h.Sections {
		if s.Change == id {
			return ChangeAccepted, s.Revision
		}
	}
	if h.Revision <= attemptedAt {
		return ChangeNotAccepted, 0
	}
	if len(h.Changes) > 0 && h.Changes[0].Revision <= attemptedAt+1 {
		return ChangeNotAccepted, 0
	}
	return ChangeUnknown, 0
}
