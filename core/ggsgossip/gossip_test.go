package ggsgossip_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsgossip"
)

// deployment returns VMs in a number of regions, with domains in each and vms in each domain.
func deployment(regions, domains, vms int) []ggsgossip.Member {
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

// broadcast sends a message from a VM to all others. It returns how often each VM received it, and
// how many messages were sent between domains of a region and between regions.
func broadcast(ms []ggsgossip.Member, from ggsgossip.Member, sequence uint64) (received map[ggscore.VMID]int, domains, regions int) {
	byID := map[ggscore.VMID]ggsgossip.Member{}
	for _, m := range ms {
		byID[m.VM] = m
	}
	received = map[ggscore.VMID]int{}
	var send func(m ggsgossip.Member, reach ggscore.Relay)
	send = func(m ggsgossip.Member, reach ggscore.Relay) {
		for _, r := range ggsgossip.Routes(m, without(without(ms, m.VM), from.VM), reach, sequence) {
			to := byID[r.To]
			received[to.VM]++
			switch {
			case to.Region != m.Region:
				regions++
			case to.Domain != m.Domain:
				domains++
			}
			if r.Relay > ggscore.RelayNone {
				send(to, r.Relay)
			}
		}
	}
	send(from, ggscore.RelayRegions)
	return received, domains, regions
}

// Guards against messages that a VM receives twice, and against one copy per VM between domains.
// With 65 VMs and two domains a region, heartbeats sent directly to each VM of a region were 75%
// of the bytes between failure domains.
func TestEachVMReceivesAMessageOnce(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct{ regions, domains, vms, betweenDomains, betweenRegions int }{
		"one VM a domain":             {3, 1, 1, 0, 2},
		"three regions of one domain": {3, 1, 3, 0, 2},
		"three regions of two":        {3, 2, 11, 3, 2},
		"two regions of four":         {2, 4, 50, 6, 1},
		"one region of three":         {1, 3, 4, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ms := deployment(tc.regions, tc.domains, tc.vms)
			for sequence := range uint64(5) {
				received, domains, regions := broadcast(ms, ms[0], sequence)
				c.Assert(received, qt.HasLen, len(ms)-1)
				for vm, n := range received {
					c.Assert(n, qt.Equals, 1, qt.Commentf("%s", vm))
				}
				c.Assert(domains, qt.Equals, tc.betweenDomains)
				c.Assert(regions, qt.Equals, tc.betweenRegions)
			}
		})
	}
}

// Guards against losing all messages to a region because the VM that forwards them has failed and
// its peers haven't detected it yet: different VMs forward consecutive messages.
func TestForwarderChangesWithSequence(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ms := deployment(2, 1, 3)
	forwarders := map[ggscore.VMID]bool{}
	for sequence := range uint64(3) {
		for _, r := range ggsgossip.Routes(ms[0], ms[1:], ggscore.RelayRegions, sequence) {
			if r.Relay > ggscore.RelayNone {
				forwarders[r.To] = true
			}
		}
	}
	c.Assert(forwarders, qt.HasLen, 3)
}

// Guards against many VMs that each read the list of endpoints (18 of 65 did). One VM reads for
// all. If it has failed, the next one reads, and a leaving endpoint is known within 2.5 s even if
// three consecutive VMs have failed.
func TestOneVMReadsForAll(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	reachable := []ggscore.VMID{"a", "b", "c", "e"}
	c.Assert(ggsgossip.Rank("a", reachable[1:]), qt.Equals, 0)
	c.Assert(ggsgossip.Rank("d", reachable), qt.Equals, 3)
	for rank := range 3 {
		c.Assert(ggsgossip.ReadAge(rank+1, 0)-ggsgossip.ReadAge(rank, 1) >= 190*time.Millisecond, qt.IsTrue)
	}
	c.Assert(ggsgossip.ReadAge(100, 1) <= 1500*time.Millisecond, qt.IsTrue)
	c.Assert(ggsgossip.AloneReadAge() < time.Second, qt.IsTrue)
}

// Guards against a rate of watch calls that grows with the number of VMs. The watches of 9 VMs end
// four times a second, and those of 65 VMs ended nineteen times a second.
func TestWatchRateIsBounded(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		vms         int
		least, most float64
	}{
		"9":   {9, 2, 4},
		"65":  {65, 2, 6},
		"410": {410, 2, 30},
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

// Guards against a VM that must stop sending orders after one lost heartbeat. A VM may send orders
// for 9 s after its last heartbeat, and sends at least two heartbeats in that time, also right
// after it claimed its first endpoint.
func TestOwnersSendTwoHeartbeatsWithinOrderTime(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, vms := range []int{1, 9, 65, 410} {
		c.Assert(2*ggsgossip.HeartbeatInterval(vms, true) < 9*time.Second, qt.IsTrue)
		c.Assert(ggsgossip.HeartbeatInterval(vms, false) > ggsgossip.HeartbeatInterval(vms, true), qt.IsTrue)
	}
}

// Guards against too many billed calls during a store outage of 8 s: 65 VMs that made three kinds
// of calls every 0.2 s paid for 7,800 refused calls. A VM that has just started keeps the short
// pause, since it can't serve until it has read the store.
func TestRetriesDuringStoreOutage(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		serves      bool
		least, most int
	}{
		"serves":            {true, 9, 14},
		"doesn't serve yet": {false, 40, 54},
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

// Guards against a saturated link, and stalled streams, at a VM that forwards the simultaneous
// heartbeats of all VMs that started together and so have the same sequence: with 72 VMs, 660
// datagrams for 60 VMs of other domains. No VM may forward more than a quarter of all.
func TestSimultaneousForwardsAreSpread(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ms := deployment(3, 2, 12)
	const peers = 11
	for sequence := range uint64(20) {
		forwarded := map[ggscore.VMID]int{}
		for _, m := range ms {
			for _, r := range ggsgossip.Routes(m, without(ms, m.VM), ggscore.RelayRegions, sequence) {
				if r.Relay > ggscore.RelayNone {
					forwarded[r.To] += peers
				}
			}
		}
		for vm, n := range forwarded {
			c.Assert(n <= len(ms)*peers/4, qt.IsTrue, qt.Commentf("%s forwards %d messages at once", vm, n))
		}
	}
}
