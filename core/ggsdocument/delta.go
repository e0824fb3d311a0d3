package ggsdocument

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	ggscore "greengageslip/core"
)

// A Delta is the difference between a head and an earlier revision: the states of the
// sections that changed. With deltas the cost of sending a change between processes
// doesn't depend on the number of sections.
type Delta struct {
	Revision ggscore.Revision
	Sections map[ggscore.SectionName]SectionState
	// Sum is the checksum of all sections of the head at Revision.
	Sum ggscore.Digest
}

// Extends reports whether h is known to be a later state than o: the latest change of o is in
// the history of h.
func (h Head) Extends(o Head) bool {
	if len(o.Changes) == 0 {
		return o.Revision == 0 && h.Revision > 0
	}
	last := o.Changes[len(o.Changes)-1]
	return o.Revision < h.Revision && slices.Contains(h.Changes, last)
}

// Since returns the sections that changed since a revision.
func (h Head) Since(r ggscore.Revision) Delta {
	d := Delta{Revision: h.Revision, Sections: map[ggscore.SectionName]SectionState{}, Sum: h.sum()}
	for n, s := range h.Sections {
		if s.Revision > r {
			d.Sections[n] = s
		}
	}
	return d
}

// Apply returns the head that results from applying to h a delta since the revision of h. The
// result has no history, which only editors need.
//
// The checksum guards against a fork. After the platform was restored from an older
// copy, two processes may have different heads of the same revision, and a delta for
// one head applied to the other would result in a document that nobody accepted. Apply
// fails with a *DeltaError, and the caller must then request the whole head.
func (h Head) Apply(d Delta) (Head, error) {
	n := Head{Revision: d.Revision, Sections: map[ggscore.SectionName]SectionState{}}
	maps.Copy(n.Sections, h.Sections)
	maps.Copy(n.Sections, d.Sections)
	if n.sum() != d.Sum {
		return Head{}, &DeltaError{From: h.Revision, To: d.Revision}
	}
	return n, nil
}

// sum returns the checksum of the revision and of the sections' names and digests.
func (h Head) sum() ggscore.Digest {
	b := binary.BigEndian.AppendUint64(nil, uint64(h.Revision))
	for _, n := range slices.Sorted(maps.Keys(h.Sections)) {
		b = binary.BigEndian.AppendUint64(b, uint64(len(n)))
		b = append(b, n...)
		d := h.Sections[n].Digest
		b = append(b, d[:]...)
	}
	return sha256.Sum256(b)
}
