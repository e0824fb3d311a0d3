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

// A Follower decides which head a process follows. Heads are offered to it by
// the platform and by peers, in any order; it names the sections to pull and
// adopts a head once all its sections are there and form a valid document.
type Follower struct {
	parser  SectionParser
	current *ggscore.Document
	head    Head
	// parsed holds the sections of head, texts those delivered for pending.
	parsed  map[ggscore.SectionName]parsedSection
	texts   map[ggscore.Digest][]byte
	pending *Head
	// rejected is the latest revision that formed no valid document.
	rejected ggscore.Revision
}

// A parsedSection is a section of the head in force.
type parsedSection struct {
	digest  ggscore.Digest
	section *Section
}

// NewFollower returns a follower that has no document yet.
func NewFollower(p SectionParser) *Follower {
	return &Follower{
		parser: p,
		texts:  map[ggscore.Digest][]byte{},
		parsed: map[ggscore.SectionName]parsedSection{},
	}
}

// Current returns the document in force, nil before there is one.
func (f *Follower) Current() *ggscore.Document { return f.current }

// Deliver takes a section's text that was pulled by its digest. It reports
// whether a head was adopted by that. A text that doesn't have the digest is
// refused with a *DigestError and stays to be pulled.
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
	return f.adoptIfWhole()
}

// GiveUp drops the pending head if it has the revision: its sections can't be
// had from where it came, and another source may offer a head that is whole.
// Sections that were delivered already are kept.
func (f *Follower) GiveUp(r ggscore.Revision) {
	if f.pending != nil && f.pending.Revision == r {
		f.pending = nil
	}
}

// Head returns the head in force.
func (f *Follower) Head() Head { return f.head }

// Missing returns the digests to pull for the head that is pending.
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

// Offer takes a head from the platform or a peer. It reports whether the head
// was adopted at once; else Missing says what to pull for it. A head lower
// than the one in force is refused with a *LowerHeadError, another head of the
// same revision with a *ForkedHeadError.
//
// The refusal guards against a platform that was restored from an old copy and
// against peers that were cut off: both show an earlier document in good
// faith, and a process that took it would take back an accepted change. The
// revision grows with each change by compare-and-swap on one key, so a lower
// one is older.
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
	return f.adoptIfWhole()
}

// adoptIfWhole adopts the pending head if all its sections are there. A head
// that forms no valid document is dropped for good: only a later one follows.
func (f *Follower) adoptIfWhole() (bool, error) {
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

// build forms the document of a head whose sections are all there.
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

// isParsed reports whether the head in force has the section.
func (f *Follower) isParsed(n ggscore.SectionName, d ggscore.Digest) bool {
	p, found := f.parsed[n]
	return found && p.digest == d
}

// parse parses the sections that the head in force doesn't have.
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
