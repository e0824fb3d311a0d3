package ggsrelay

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

const (
	// relays is the number of relays of a failure domain.
	relays = 2
	// relaySilence is the silence from which a relay of the own domain counts as lost, and
	// farSilence that of another's: three of its summaries.
	relaySilence = 500 * time.Millisecond
	farSilence   = 1000 * time.Millisecond
	// relayGrace is the time that a VM has from its choice to its first summary: it
	// learns of the others a reading of the store later than they do.
	relayGrace = 1500 * time.Millisecond
	// probed is the number of VMs of a domain that are probed in turn, and probeEvery that
	// of summaries from one probe to the next.
	probed     = 4
	probeEvery = 3
)

// A Member is a VM, and where it stands.
type Member struct {
	VM     ggscore.VMID
	Domain ggscore.Domain
	Region ggscore.Region
	// Capacity compares VMs by processor and link: the widest are relays.
	Capacity uint64
}

// Hash returns what stands for a VM in summaries.
func Hash(vm ggscore.VMID) ggscore.VMHash {
	return ggscore.VMHash(xxhash.Sum64String(string(vm)) & (1<<32 - 1)) //nolint:gosec // the low half is wanted
}

// rank orders the VMs of a domain by how soon they are chosen as relays. Capacities of the
// same magnitude count as the same, so that the choice doesn't hang on small differences.
func rank(ms []Member) []ggscore.VMID {
	ranked := slices.Clone(ms)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(bits.Len64(b.Capacity), bits.Len64(a.Capacity)),
			cmp.Compare(Hash(a.VM), Hash(b.VM)),
			cmp.Compare(a.VM, b.VM),
		)
	})
	vms := make([]ggscore.VMID, 0, len(ranked))
	for _, m := range ranked {
		vms = append(vms, m.VM)
	}
	return vms
}

// A chooser keeps the relays of a domain by their summaries.
type chooser struct {
	self    ggscore.VMID
	silence time.Duration
	ranked  []ggscore.VMID
	// chosen is when a relay was chosen, lastSummary when its last summary came, lost whether it
	// was found silent.
	chosen      map[ggscore.VMID]time.Time
	lastSummary map[ggscore.VMID]time.Time
	lost        map[ggscore.VMID]bool
}

func newChooser(self ggscore.VMID, silence time.Duration) *chooser {
	return &chooser{
		self: self, silence: silence, chosen: map[ggscore.VMID]time.Time{}, lastSummary: map[ggscore.VMID]time.Time{}, lost: map[ggscore.VMID]bool{},
	}
}

// observe notes a summary of a relay.
func (c *chooser) observe(now time.Time, vm ggscore.VMID) {
	c.lastSummary[vm] = now
	delete(c.lost, vm)
}

// relays returns the relays of the domain. A lost one comes back with its summaries, since
// a VM never counts itself as lost; where all are lost, none is known to be better.
func (c *chooser) relays(now time.Time) []ggscore.VMID {
	vms := c.choose(now)
	if len(vms) == 0 && len(c.lost) > 0 {
		clear(c.lost)
		vms = c.choose(now)
	}
	return vms
}

// probe returns a lost VM that comes before the relays, empty for none: it may be one again.
// Two domains that were cut off from each other hear of each other only by it: each sends
// to VMs that the other doesn't take for relays.
func (c *chooser) probe(turn uint64) ggscore.VMID {
	var lost []ggscore.VMID
	found := 0
	for _, vm := range c.ranked {
		if _, ok := c.chosen[vm]; ok {
			found++
		} else if c.lost[vm] && len(lost) < probed {
			lost = append(lost, vm)
		}
		if found == relays {
			break
		}
	}
	if len(lost) == 0 {
		return ""
	}
	return lost[turn%uint64(len(lost))]
}

func (c *chooser) choose(now time.Time) []ggscore.VMID {
	vms := make([]ggscore.VMID, 0, relays)
	chosen := make(map[ggscore.VMID]time.Time, relays)
	for _, vm := range c.ranked {
		if len(vms) == relays {
			break
		}
		if c.lost[vm] {
			continue
		}
		since, ok := c.chosen[vm]
		if !ok {
			since = now
		}
		if vm != c.self && c.silent(now, vm, since) {
			c.lost[vm] = true
			continue
		}
		chosen[vm] = since
		vms = append(vms, vm)
	}
	c.chosen = chosen
	return vms
}

func (c *chooser) silent(now time.Time, vm ggscore.VMID, since time.Time) bool {
	if last := c.lastSummary[vm]; last.After(since) {
		return now.Sub(last) > c.silence
	}
	return now.Sub(since) > relayGrace
}
