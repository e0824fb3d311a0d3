package ggsdocument

import (
	"maps"
	"slices"

	ggscore "greengageslip/core"
)

// A SectionParser parses a section's text.
type SectionParser interface {
	ParseSection(n ggscore.SectionName, text []byte) (*Section, error)
}

// A Follower decides which head a process adopts. The platform and peers offer heads in
// any order. The follower names the section texts to pull and adopts a head once all
// its sections are delivered and form a valid document.
type Follower struct {
	parser  SectionParser
	current *ggscore.Document
	head    Head
	// parsed holds the sections of head; texts holds those delivered for pending.
	parsed  map[ggscore.SectionName]parsedSection
	texts   map[ggscore.Digest][]byte
	pending *Head
	// rejected is the latest revision that formed no valid document.
	rejected ggscore.Revision
}

// A parsedSection is a section of the current head.
type parsedSection struct {
	digest  ggscore.Digest
	section *Section
}

// NewFollower returns a follower without a document.
func NewFollower(p SectionParser) *Follower {
	return &Follower{
		parser: p,
		texts:  map[ggscore.Digest][]byte{},
		parsed: map[ggscore.SectionName]parsedSection{},
	}
}

// Current returns the document of the current head, or nil before the first one is
// adopted.
func (f *Follower) Current() *ggscore.Document { return f.current }

// Deliver adds a section's text that was pulled by its digest. It reports whether this
// completed the pending head and the head was adopted. A text with another digest is
// rejected with a *DigestError and remains missing.
func (f *Follower) Deliver(d ggscore.Digest, text []byte) (bool, error) {
	if have := DigestOf(text); have != d {
		return false, &DigestError{Want: d, Have: have}
	}
	if f.pending == nil {
		return false, nil
	}
	for _, s := range f.pending.Sections {
		if s.Digest == d {
			f.texts[d] = text
			break
		}
	}
	return f.adoptIfComplete()
}

// DropPending drops the pending head if it has the given revision. The caller uses DropPending
// when the source of that head can't deliver its sections, so that a complete head from another
// source can be adopted. Sections that were delivered already are kept.
func (f *Follower) DropPending(r ggscore.Revision) {
	if f.pending != nil && f.pending.Revision == r {
		f.pending = nil
	}
}

// Head returns the current head.
func (f *Follower) Head() Head { return f.head }

// Missing returns the digests of the section texts to pull for the pending head.
func (f *Follower) Missing() []ggscore.Digest {
	if f.pending == nil {
		return nil
	}
	var l []ggscore.Digest
	for _, n := range slices.Sorted(maps.Keys(f.pending.Sections)) {
		d := f.pending.Sections[n].Digest
		if _, found := f.texts[d]; !found && !f.isParsed(n, d) && !slices.Contains(l, d) {
			l = append(l, d)
		}
	}
	return l
}

// Offer offers a head from the platform or a peer. It reports whether the head was
// adopted at once. Otherwise Missing returns the section texts to pull for it. Offer
// rejects a head with a revision lower than the current one with a *LowerHeadError, and
// another head of the same revision with a *ForkedHeadError.
//
// The rejection guards against a platform that was restored from an old copy and
// against peers that were disconnected. Both offer an earlier document, and adopting it
// would undo an accepted change. Each change increments the revision by
// compare-and-swap on one key, so a lower revision is older.
func (f *Follower) Offer(h Head) (bool, error) {
	if h.Revision < f.head.Revision {
		return false, &LowerHeadError{Offered: h.Revision, Have: f.head.Revision}
	}
	if h.Revision == f.head.Revision {
		if !h.Equal(f.head) {
			return false, &ForkedHeadError{Revision: h.Revision}
		}
		return false, nil
	}
	if f.pending != nil && h.Revision <= f.pending.Revision || h.Revision <= f.rejected {
		return false, nil
	}
	f.pending = &h
	return f.adoptIfComplete()
}

// adoptIfComplete adopts the pending head if all its sections are delivered. A head
// that forms no valid document is rejected permanently: only a head with a later
// revision can be adopted.
func (f *Follower) adoptIfComplete() (bool, error) {
	if f.pending == nil || len(f.Missing()) > 0 {
		return false, nil
	}
	h := *f.pending
	f.pending = nil
	parsed, d, err := f.build(h)
	if err != nil {
		f.rejected = h.Revision
		return false, err
	}
	f.head, f.current, f.parsed = h, d, parsed
	clear(f.texts)
	return true, nil
}

// build builds the document of a complete head.
func (f *Follower) build(h Head) (map[ggscore.SectionName]parsedSection, *ggscore.Document, error) {
	m, err := f.parse(h)
	if err != nil {
		return nil, nil, err
	}
	l := make([]*Section, 0, len(m))
	for _, p := range m {
		l = append(l, p.section)
	}
	d, err := Build(h.Revision, l)
	return m, d, err
}

// isParsed reports whether the current head has the section with this digest.
func (f *Follower) isParsed(n ggscore.SectionName, d ggscore.Digest) bool {
	p, found := f.parsed[n]
	return found && p.digest == d
}

// parse parses the sections that the current head doesn't have.
func (f *Follower) parse(h Head) (map[ggscore.SectionName]parsedSection, error) {
	m := make(map[ggscore.SectionName]parsedSection, len(h.Sections))
	for _, n := range slices.Sorted(maps.Keys(h.Sections)) {
		d := h.Sections[n].Digest
		if f.isParsed(n, d) {
			m[n] = f.parsed[n]
			continue
		}
		s, err := f.parser.ParseSection(n, f.texts[d])
		if err != nil {
			return nil, err
		}
		m[n] = parsedSection{digest: d, section: s}
	}
	return m, nil
}
