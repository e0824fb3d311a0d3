package ggscore_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
)

// Guards against orders to load more adapters than fit into a runner's memory beside its model,
// even if it has a slot for each. The runner would crash with all its requests.
func TestAdapterCapacity(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		spec ggscore.EngineSpec
		want int
	}{
		"by slots": {spec: ggscore.EngineSpec{
			AdapterSlots: 18, Bytes: 66600, Models: []ggscore.ModelSpec{{Bytes: 65100, AdapterBytes: 12}},
		}, want: 18},
		"by memory": {spec: ggscore.EngineSpec{
			AdapterSlots: 18, Bytes: 65200, Models: []ggscore.ModelSpec{{Bytes: 65100, AdapterBytes: 12}},
		}, want: 8},
		"no memory beside the model": {spec: ggscore.EngineSpec{
			AdapterSlots: 18, Bytes: 65000, Models: []ggscore.ModelSpec{{Bytes: 65100, AdapterBytes: 12}},
		}},
		"sizes unknown": {spec: ggscore.EngineSpec{AdapterSlots: 18}, want: 18},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			qt.New(t).Assert(tc.spec.AdapterCapacity(), qt.Equals, tc.want)
		})
	}
}
