package ggsrelay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
)

// epochTime is the time within which all VMs know of a new epoch of the store once one knows.
const epochTime = time.Second

// Guards against VMs that go by an ended history of the store while others know better.
func TestEpochReachesAllVMs(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		vms, domains int
		loss         float64
	}{
		"30 VMs":                     {30, 6, 0},
		"100 VMs":                    {100, 6, 0},
		"195 VMs":                    {195, 6, 0},
		"410 VMs":                    {410, 4, 0},
		"195 VMs, 5 in 100 are lost": {195, 6, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newSim(4, tc.vms, tc.domains)
			s.loss = tc.loss
			s.run(settled)
			s.nodes[s.members[0].VM].epoch = 2
			begun := s.now
			for s.known(2) < tc.vms && s.now-begun < 2*epochTime {
				s.run(10 * time.Millisecond)
			}
			t.Logf("all %d VMs after %s", tc.vms, s.now-begun)
			c.Assert(s.now-begun <= epochTime, qt.IsTrue, qt.Commentf("%s, %d know", s.now-begun, s.known(2)))
		})
	}
}

// known returns the number of VMs that know of an epoch.
func (s *sim) known(e ggscore.StoreEpoch) int {
	n := 0
	for _, x := range s.nodes {
		if x.epoch >= e {
			n++
		}
	}
	return n
}
