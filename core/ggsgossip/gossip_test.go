package ggsgossip_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsgossip"
)

// fleet returns so many VMs in each failure domain of each region.
func fleet(regions, domains, vms int) []ggsgossip.Member {
	var ms []ggsgossip.Member
	for r := range regions {
		for d := range domains {
			for n := range vms {
				ms = append(ms, ggsgossip.Member{
					VM:     ggscore.VMID(fmt.Sprintf("vm-%d-%d-%d", r, d, n)),
					Domain: ggscore.Domain(fmt.Sprintf("d-%d-%d", r, d)),
					Region: ggscore.Region(fmt.Sprintf("r-%d", r)),
				})
			}
		}
	}
	return ms
}

func without(ms []ggsgossip.Member, vm ggscore.VMID) []ggsgossip.Member {
	var l []ggsgossip.Member
	for _, m := range ms {
		if m.VM != vm {
			l = append(l, m)
		}
	}
	return l
}

// spread tells all that a VM knows and returns how often each VM heard it, and
// how many words crossed domains of a region and regions.
func spread(ms []ggsgossip.Member, from ggsgossip.Member, sequence uint64) (heard map[ggscore.VMID]int, domains, regions int) {
	byID := map[ggscore.VMID]ggsgossip.Member{}
	for _, m := range ms {
		byID[m.VM] = m
	}
	heard = map[ggscore.VMID]int{}
	var tell func(m ggsgossip.Member, reach ggscore.Relay)
	tell = func(m ggsgossip.Member, reach ggscore.Relay) {
		for _, r := range ggsgossip.Routes(m, without(without(ms, m.VM), from.VM), reach, sequence) {
			to := byID[r.To]
			heard[to.VM]++
			switch {
			case to.Region != m.Region:
				regions++
			case to.Domain != m.Domain:
				domains++
			}
			if r.Relay > ggscore.RelayNone {
				tell(to, r.Relay)
			}
		}
	}
	tell(from, ggscore.RelayRegions)
	return heard, domains, regions
}

// Beats went to each VM of the region: with 65 VMs of two domains a region they
// were three quarters of the bytes between failure domains.
func TestEachVMHearsAWordOnce(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct{ regions, domains, vms, betweenDomains, betweenRegions int }{
		"one VM a domain":           {3, 1, 1, 0, 2},
		"three regions of a domain": {3, 1, 3, 0, 2},
		"three regions of two":      {3, 2, 11, 3, 2},
		"two regions of four":       {2, 4, 50, 6, 1},
		"one region of three":       {1, 3, 4, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ms := fleet(tc.regions, tc.domains, tc.vms)
			for sequence := range uint64(5) {
				heard, domains, regions := spread(ms, ms[0], sequence)
				c.Assert(heard, qt.HasLen, len(ms)-1)
				for vm, n := range heard {
					c.Assert(n, qt.Equals, 1, qt.Commentf("%s", vm))
				}
				c.Assert(domains, qt.Equals, tc.betweenDomains)
				c.Assert(regions, qt.Equals, tc.betweenRegions)
			}
		})
	}
}

// A VM that passes words on is gone, and its peers haven't noticed: others pass on
// the next ones.
func TestAnotherVMPassesTheNextWordOn(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ms := fleet(2, 1, 3)
	relays := map[ggscore.VMID]bool{}
	for sequence := range uint64(3) {
		for _, r := range ggsgossip.Routes(ms[0], ms[1:], ggscore.RelayRegions, sequence) {
			if r.Relay > ggscore.RelayNone {
				relays[r.To] = true
			}
		}
	}
	c.Assert(relays, qt.HasLen, 3)
}

// Of 65 VMs 18 read the list of endpoints in each round. One reads for all; where
// it is gone, the next does, and an endpoint that leaves is known within 2.5 s
// though three in a row are.
func TestOneVMReadsForAll(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	heard := []ggscore.VMID{"a", "b", "c", "e"}
	c.Assert(ggsgossip.Rank("a", heard[1:]), qt.Equals, 0)
	c.Assert(ggsgossip.Rank("d", heard), qt.Equals, 3)
	for rank := range 3 {
		c.Assert(ggsgossip.ReadAge(rank+1, 0)-ggsgossip.ReadAge(rank, 1) >= 190*time.Millisecond, qt.IsTrue)
	}
	c.Assert(ggsgossip.ReadAge(100, 1) <= 1500*time.Millisecond, qt.IsTrue)
	c.Assert(ggsgossip.AloneAge() < time.Second, qt.IsTrue)
}

// The watches of nine VMs end four times a second; those of 65 did so nineteen
// times.
func TestWatchesEndNoMoreOftenInALargeFleet(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		vms         int
		least, most float64
	}{
		"nine": {9, 2, 4},
		"65":   {65, 2, 6},
		"410":  {410, 2, 30},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			sum := 0.0
			for i := range 100 {
				sum += ggsgossip.WatchWait(tc.vms, float64(i)/100).Seconds()
			}
			perSecond := float64(tc.vms) / (sum / 100)
			c.Assert(perSecond >= tc.least && perSecond <= tc.most, qt.IsTrue, qt.Commentf("%.1f a second", perSecond))
		})
	}
	c := qt.New(t)
	c.Assert(ggsgossip.WatchWait(1, 1) < 2*time.Second, qt.IsTrue)
	c.Assert(ggsgossip.RecordsInterval(9), qt.Equals, time.Second)
	c.Assert(ggsgossip.RecordsInterval(65) > 2*time.Second, qt.IsTrue)
}

// Orders go on for 9 s after a VM's last beat: one that gives any beats twice in
// that time at least, also when it has just claimed its first endpoint.
func TestOwnersBeatWhileTheyMayOrder(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, vms := range []int{1, 9, 65, 410} {
		c.Assert(2*ggsgossip.BeatInterval(vms, true) < 9*time.Second, qt.IsTrue)
		c.Assert(ggsgossip.BeatInterval(vms, false) > ggsgossip.BeatInterval(vms, true), qt.IsTrue)
	}
}

// The store is away for 8 s. 65 VMs asked it for three things every 0.2 s each, and
// paid for 7,800 refusals; one that has just started has to know as soon as it is
// back, as it can't serve before.
func TestStoreThatIsAwayIsAskedLessOften(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		serves      bool
		least, most int
	}{
		"serves":      {true, 9, 14},
		"doesn't yet": {false, 40, 54},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			calls := 0
			for at := time.Duration(0); at < 8*time.Second; calls++ {
				d := ggsgossip.RetryPause(calls+1, tc.serves, float64(calls%5)/4)
				c.Assert(d > 100*time.Millisecond && d <= 800*time.Millisecond, qt.IsTrue)
				at += d
			}
			c.Assert(calls >= tc.least && calls <= tc.most, qt.IsTrue, qt.Commentf("%d calls", calls))
		})
	}
}

// VMs that started together send their beats at the same moments, under the same
// sequence. If all choose the same VM of a domain to pass them on, its link is full for
// a fifth of a second each time, and its callers' streams stop.
//
// Of 72 VMs one passed on the words of all 60 of other domains, 660 datagrams; now none
// more than a quarter of that.
func TestRelaysOfOneMomentAreSpread(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ms := fleet(3, 2, 12)
	const peers = 11
	for sequence := range uint64(20) {
		relayed := map[ggscore.VMID]int{}
		for _, m := range ms {
			for _, r := range ggsgossip.Routes(m, without(ms, m.VM), ggscore.RelayRegions, sequence) {
				if r.Relay > ggscore.RelayNone {
					relayed[r.To] += peers
				}
			}
		}
		for vm, n := range relayed {
			c.Assert(n <= len(ms)*peers/4, qt.IsTrue, qt.Commentf("%s sends %d words at once", vm, n))
		}
	}
}
