package ggsthrottle_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsthrottle"
)

// Guards against VMs whose unused parts of a quota add up to a burst at one endpoint.
func TestUnusedQuotasDontAddUp(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		vms, endpoints int
		models         []ggscore.ResidentModel
		// most is the number of VMs that may send at once.
		most int
	}{
		"endpoints are interchangeable": {vms: 65, endpoints: 72, most: 16},
		"endpoints hold adapters":       {vms: 65, endpoints: 72, models: []ggscore.ResidentModel{{Name: "m"}}, most: 65},
		"few VMs":                       {vms: 9, endpoints: 12, most: 9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var vms []ggscore.VMID
			for n := range tc.vms {
				vms = append(vms, vm(n))
			}
			refusals := 6
			allowed := 0
			for n := range tc.vms {
				tb := ggsthrottle.NewTable(vms[n])
				tb.SetVMs(append([]ggscore.VMID(nil), vms...))
				tb.ObserveServiceTime("s", 600*time.Millisecond)
				var list []ggscore.Instance
				for e := range tc.endpoints {
					list = append(list, ggscore.Instance{ID: ggscore.EndpointID(fmt.Sprintf("e%d", e)), Service: "s", Slots: 16, Models: tc.models})
				}
				tb.SetInstances(at(0), list)
				tb.ObserveShedLimit(at(0), "s", &refusals, at(0))
				if tb.Allows(at(8*time.Second), "e7") {
					allowed++
				}
			}
			c.Assert(allowed <= tc.most, qt.IsTrue, qt.Commentf("%d VMs may send at once", allowed))
			c.Assert(allowed > 0, qt.IsTrue)
		})
	}
}
