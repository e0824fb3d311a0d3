package ggsrelay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
)

// maxEpochDelay bounds the time from the first VM that knows a new store epoch to all VMs.
const maxEpochDelay = time.Second

// Guards against VMs that keep using an old store epoch while other VMs know a newer one.
func TestEpochReachesAllVMs(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		vms, domains int
		loss         float64
	}{
		"30 VMs":                    {30, 6, 0},
		"100 VMs":                   {100, 6, 0},
		"195 VMs":                   {195, 6, 0},
		"410 VMs":                   {410, 4, 0},
		"195 VMs, 5% datagram loss": {195, 6, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newSim(4, tc.vms, tc.domains)
			s.loss = tc.loss
			s.run(settleTime)
			s.nodes[s.members[0].VM].epoch = 2
			start := s.now
			for s.known(2) < tc.vms && s.now-start < 2*maxEpochDelay {
				s.run(10 * time.Millisecond)
			}
			t.Logf("all %d VMs after %s", tc.vms, s.now-start)
			c.Assert(s.now-start <= maxEpochDelay, qt.IsTrue, qt.Commentf("%s, %d know", s.now-start, s.known(2)))
		})
	}
}

// known returns the number of VMs that know an epoch or a later one.
func (s *sim) known(e ggscore.StoreEpoch) int {
	n := 0
	for _, x := range s.nodes {
		if x.epoch >= e {
			n++
		}
	}
	return n
}
