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
	// relaysPerDomain is the number of relays of a failure domain.
	relaysPerDomain = 2
	// localRelayTimeout is the time without a summary after which a relay of this VM's domain
	// counts as unreachable. remoteRelayTimeout is that for a relay of another domain: three
	// of its summaries.
	localRelayTimeout  = 500 * time.Millisecond
	remoteRelayTimeout = 1000 * time.Millisecond
	// firstSummaryTimeout is the time that a VM has from its selection to its first summary. The
	// new relay may learn of the other VMs one read of the store later than these learn of the
	// relay.
	firstSummaryTimeout = 1500 * time.Millisecond
	// maxProbed is the number of VMs of a domain that are probed in turn, and probePeriod is
	// the number of summaries from one probe to the next.
	maxProbed   = 4
	probePeriod = 3
)

// A Member is a VM with its location and capacity.
type Member struct {
	VM     ggscore.VMID
	Domain ggscore.Domain
	Region ggscore.Region
	// Capacity compares VMs by processor and network link; those with the most become relays.
	Capacity uint64
}

// Hash returns the short form of a VM's ID that summaries use.
func Hash(vm ggscore.VMID) ggscore.VMHash {
	return ggscore.VMHash(xxhash.Sum64String(string(vm)) & (1<<32 - 1)) //nolint:gosec // low 32 bits
}

// rank orders the VMs of a domain by preference as relays. Capacities with the same number
// of bits count as equal, so that small differences don't affect the selection.
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

// A relaySelector selects the relays of a domain by rank and by the summaries received.
type relaySelector struct {
	self       ggscore.VMID
	timeout    time.Duration
	candidates []ggscore.VMID
	// selectedAt is when a current relay was selected, lastSummary when its last summary
	// arrived, and unreachable whether it timed out.
	selectedAt  map[ggscore.VMID]time.Time
	lastSummary map[ggscore.VMID]time.Time
	unreachable map[ggscore.VMID]bool
}

func newRelaySelector(self ggscore.VMID, timeout time.Duration) *relaySelector {
	return &relaySelector{
		self: self, timeout: timeout, selectedAt: map[ggscore.VMID]time.Time{}, lastSummary: map[ggscore.VMID]time.Time{},
		unreachable: map[ggscore.VMID]bool{},
	}
}

// recordSummary records that a summary of a relay has arrived.
func (s *relaySelector) recordSummary(now time.Time, vm ggscore.VMID) {
	s.lastSummary[vm] = now
	delete(s.unreachable, vm)
}

// relays returns the relays of the domain. An unreachable VM is eligible again once a summary
// from it arrives: a VM never counts itself as unreachable, so it keeps sending summaries. If
// all VMs are unreachable, all become eligible again, since none is known to be better.
func (s *relaySelector) relays(now time.Time) []ggscore.VMID {
	vms := s.selectRelays(now)
	if len(vms) == 0 && len(s.unreachable) > 0 {
		clear(s.unreachable)
		vms = s.selectRelays(now)
	}
	return vms
}

// probe returns an unreachable VM that ranks above a current relay, or an empty ID. That VM
// may be reachable again. After a network partition between two domains, only probes restore
// their exchange: each domain sends to VMs that the other domain no longer uses as relays.
func (s *relaySelector) probe(turn uint64) ggscore.VMID {
	var targets []ggscore.VMID
	found := 0
	for _, vm := range s.candidates {
		if _, ok := s.selectedAt[vm]; ok {
			found++
		} else if s.unreachable[vm] && len(targets) < maxProbed {
			targets = append(targets, vm)
		}
		if found == relaysPerDomain {
			break
		}
	}
	if len(targets) == 0 {
		return ""
	}
	return targets[turn%uint64(len(targets))]
}

func (s *relaySelector) selectRelays(now time.Time) []ggscore.VMID {
	vms := make([]ggscore.VMID, 0, relaysPerDomain)
	selected := make(map[ggscore.VMID]time.Time, relaysPerDomain)
	for _, vm := range s.candidates {
		if len(vms) == relaysPerDomain {
			break
		}
		if s.unreachable[vm] {
			continue
		}
		since, ok := s.selectedAt[vm]
		if !ok {
			since = now
		}
		if vm != s.self && s.timedOut(now, vm, since) {
			s.unreachable[vm] = true
			continue
		}
		selected[vm] = since
		vms = append(vms, vm)
	}
	s.selectedAt = selected
	return vms
}

func (s *relaySelector) timedOut(now time.Time, vm ggscore.VMID, since time.Time) bool {
	if last := s.lastSummary[vm]; last.After(since) {
		return now.Sub(last) > s.timeout
	}
	return now.Sub(since) > firstSummaryTimeout
}
