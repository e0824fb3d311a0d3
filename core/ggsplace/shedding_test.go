package ggsplace_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// grownLedger is the usual load of a plain service behind 65 VMs, 0.46 of its slots.
func grownLedger() shedLoad {
	return shedLoad{vms: 65, endpoints: 7, slots: 6, serviceTime: 60 * time.Millisecond, perSecond: 320}
}

// grownRunners is the usual load of runners behind 65 VMs, 0.45 of their slots.
func grownRunners() shedLoad {
	return shedLoad{vms: 65, endpoints: 72, slots: 16, serviceTime: 600 * time.Millisecond, perSecond: 860}
}

// largeLedger is the usual load of a plain service behind 195 VMs, 0.44 of its slots.
func largeLedger() shedLoad {
	return shedLoad{vms: 195, endpoints: 6, slots: 6, serviceTime: 60 * time.Millisecond, perSecond: 263}
}

// check plays the load and checks how often endpoints fall over.
func (l shedLoad) check(t *testing.T) shedResult {
	t.Helper()
	r := l.run()
	t.Logf("%+v", r)
	if testing.Verbose() {
		l.silent = true
		t.Logf("without the announcement %+v", l.run())
	}
	most := 2 + l.endpoints/10
	qt.Check(t, r.falls <= most, qt.IsTrue, qt.Commentf("fell over %d times, %d allowed", r.falls, most))
	return r
}

// Guards against VMs that together press shed-limited endpoints until they fall over.
func TestShedLimitedEndpointsStayUp(t *testing.T) {
	t.Parallel()
	for name, l := range map[string]shedLoad{
		"9 VMs, 3 endpoints":   {vms: 9, endpoints: 3, slots: 6, serviceTime: 15 * time.Millisecond, perSecond: 90},
		"65 VMs, 7 endpoints":  {vms: 65, endpoints: 7, slots: 6, serviceTime: 60 * time.Millisecond, perSecond: 320, age: 300 * time.Millisecond},
		"195 VMs, 6 endpoints": {vms: 195, endpoints: 6, slots: 6, serviceTime: 60 * time.Millisecond, perSecond: 263, age: 300 * time.Millisecond},
		"9 VMs, 12 large ones": {vms: 9, endpoints: 12, slots: 64, serviceTime: 1100 * time.Millisecond, perSecond: 230},
	} {
		for _, burst := range []float64{1, 3} {
			t.Run(fmt.Sprintf("%s, %.0f times the load", name, burst), func(t *testing.T) {
				t.Parallel()
				k := l
				k.burst = burst
				k.check(t)
			})
		}
	}
}

// Guards against callers that are refused beside free slots, because their VM's part of the slots is used up.
func TestCallersOfShedLimitedServicesAreServed(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		load shedLoad
		// burst is the load of the second half of the time, and hot the share of the requests at one VM.
		burst, hot float64
		// refused is the share of requests that may be refused, beyond those for which there is no slot.
		refused float64
	}{
		"65 VMs, 7 endpoints":                     {load: grownLedger(), burst: 1, refused: 0.01},
		"65 VMs, 7 endpoints, one VM hot":         {load: grownLedger(), burst: 1, hot: 0.9, refused: 0.01},
		"195 VMs, 6 endpoints":                    {load: largeLedger(), burst: 1, refused: 0.01},
		"65 VMs, 72 endpoints":                    {load: grownRunners(), burst: 1, refused: 0.01},
		"65 VMs, 72 endpoints, 0.9 of the slots":  {load: grownRunners(), burst: 2, refused: 0.05},
		"65 VMs, 72 endpoints, 1.35 of the slots": {load: grownRunners(), burst: 3, refused: 0.05},
		"9 VMs, 3 endpoints, one VM hot": {
			load:  shedLoad{vms: 9, endpoints: 3, slots: 6, serviceTime: 15 * time.Millisecond, perSecond: 90},
			burst: 1, hot: 0.9, refused: 0.01,
		},
		"12 VMs, 24 endpoints, 0.9 of the slots": {
			load:  shedLoad{vms: 12, endpoints: 24, slots: 8, serviceTime: 150 * time.Millisecond, perSecond: 768},
			burst: 1.5, refused: 0.05,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := tc.load
			l.age, l.regions, l.burst, l.hot = 300*time.Millisecond, 3, tc.burst, tc.hot
			r := l.check(t)
			most := int(tc.refused*float64(r.requests)) + l.excess()
			qt.Check(t, r.refused <= most, qt.IsTrue, qt.Commentf("%d of %d requests refused, %d allowed", r.refused, r.requests, most))
		})
	}
}

// Guards against endpoints that fall over while VMs disagree about who counts their requests.
func TestShedLimitedEndpointsStayUpWhileVMsFail(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(*shedLoad){
		"datagrams are lost":      func(l *shedLoad) { l.loss = 0.02 },
		"a third of the VMs fail": func(l *shedLoad) { l.failed = l.vms / 3 },
		"regions are partitioned": func(l *shedLoad) { l.partitioned = true },
		"all VMs restart":         func(l *shedLoad) { l.restartAt = shedFaultAt },
		"callers leave":           func(l *shedLoad) { l.leaving = 0.2 },
	} {
		for size, l := range map[string]shedLoad{
			"65 VMs, 7 endpoints":  {vms: 65, endpoints: 7, slots: 6, serviceTime: 60 * time.Millisecond, perSecond: 320},
			"65 VMs, 72 endpoints": {vms: 65, endpoints: 72, slots: 16, serviceTime: 600 * time.Millisecond, perSecond: 860},
			"9 VMs, 12 endpoints":  {vms: 9, endpoints: 12, slots: 6, serviceTime: 60 * time.Millisecond, perSecond: 560},
		} {
			t.Run(name+", "+size, func(t *testing.T) {
				t.Parallel()
				l.age, l.regions, l.burst = 300*time.Millisecond, 3, 2
				fault(&l)
				l.check(t)
			})
		}
	}
}

// excess returns the number of requests in the second half of the time for which there is no slot.
func (l shedLoad) excess() int {
	perSecond := float64(l.endpoints*l.slots) / l.serviceTime.Seconds()
	return int(max(l.perSecond*l.burst-perSecond, 0) * (shedLength / 2).Seconds())
}

// Guards against VMs that learn of a shed limit only from each endpoint's own answers.
func TestVMsThatStartKnowShedLimits(t *testing.T) {
	t.Parallel()
	for name, l := range map[string]shedLoad{
		"65 VMs, 7 endpoints":  {vms: 65, endpoints: 7, slots: 6, serviceTime: 60 * time.Millisecond, perSecond: 320, age: 300 * time.Millisecond},
		"195 VMs, 6 endpoints": {vms: 195, endpoints: 6, slots: 6, serviceTime: 60 * time.Millisecond, perSecond: 263, age: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l.burst, l.restartAt = 1.7, 9*time.Second
			l.check(t)
		})
	}
}

// Guards against many VMs that press shed-limited runners while the load is above their capacity.
func TestManyShedLimitedRunnersStayUp(t *testing.T) {
	t.Parallel()
	l := grownRunners()
	l.age, l.burst = 300*time.Millisecond, 2
	l.check(t)
}
