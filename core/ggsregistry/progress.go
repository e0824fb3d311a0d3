package ggsregistry

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

// A Progress tracks which reading of the list a VM and its peers have, and whether the VM is
// behind. Usually one VM reads the list for all, so each field that VMs decide on has to count as
// a change. The zero value is ready to use.
//
// VMs compare digests of what they have read instead of the changes that each of them found: two
// VMs that read at different times find different changes, and neither may see one that was undone
// in between.
type Progress struct {
	read      ggscore.StorePosition
	digest    ggscore.ListDigest
	changedAt ggscore.StorePosition
	// newest is the newest position at which a peer had other entries.
	newest ggscore.StorePosition
}

// Read records a reading of this VM.
func (p *Progress) Read(at ggscore.StorePosition, d ggscore.ListDigest) {
	if at.Before(p.read) {
		return
	}
	if p.read.IsZero() || d != p.digest {
		p.changedAt = at
	}
	p.read, p.digest = at, d
}

// ReadAt returns the position of this VM's last reading, zero for none.
func (p *Progress) ReadAt() ggscore.StorePosition { return p.read }

// Announcement returns the digest of the entries that this VM has read, and the position from which
// it had them.
func (p *Progress) Announcement() (ggscore.StorePosition, ggscore.ListDigest) {
	return p.changedAt, p.digest
}

// ObservePeer records a peer's announcement, and reports whether this VM is behind. The digest is
// zero if the peer doesn't know it.
func (p *Progress) ObservePeer(at ggscore.StorePosition, d ggscore.ListDigest) (behind bool) {
	differs := d == 0 || d != p.digest
	switch {
	case p.read.Before(at):
		if differs {
			p.newest = p.newest.Max(at)
		}
	case d != 0 && differs && !p.changedAt.After(at):
		// The entries changed between the peer's reading and this VM's, and the peer has read past
		// the position that this VM has announced.
		p.changedAt = p.read
	}
	return p.Behind()
}

// Behind reports whether a peer has read entries that this VM hasn't.
func (p *Progress) Behind() bool { return p.read.Before(p.newest) }

// Newest returns the newest position at which a peer had other entries than this VM.
func (p *Progress) Newest() ggscore.StorePosition { return p.newest }

// DigestOf returns the digest of the entries. It leaves out what changes with each load of an
// adapter: the number of accepted orders, and the adapters, which an endpoint's owner reports.
func DigestOf(es []Entry) ggscore.ListDigest {
	sorted := slices.Clone(es)
	slices.SortFunc(sorted, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	h := xxhash.New()
	text := func(t string) {
		_, _ = h.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(t)))) //nolint:gosec // entries are small
		_, _ = h.WriteString(t)
	}
	number := func(n uint64) { _, _ = h.Write(binary.LittleEndian.AppendUint64(nil, n)) }
	for i := range sorted {
		e := &sorted[i]
		text(string(e.ID))
		text(string(e.Service))
		text(string(e.Domain))
		text(e.Addr.String())
		text(string(e.Software))
		number(uint64(e.Slots))                 //nolint:gosec // positive
		number(uint64(e.StartedAt.UnixMilli())) //nolint:gosec // only compared
		leaving := uint64(0)
		if e.Leaving {
			leaving = 1
		}
		number(leaving)
		models := make([]string, 0, len(e.Models))
		for _, m := range e.Models {
			models = append(models, string(m.Name))
		}
		slices.Sort(models)
		number(uint64(len(models)))
		for _, m := range models {
			text(m)
		}
	}
	// Zero stands for an unknown digest.
	return ggscore.ListDigest(max(h.Sum64(), 1))
}
