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
		held []ggscore.BaseModel
		want int
	}{
		"by slots": {spec: ggscore.EngineSpec{
			AdapterSlots: 18, Bytes: 66600, Models: []ggscore.ModelSpec{{Bytes: 65100, AdapterBytes: 12}},
		}, held: []ggscore.BaseModel{""}, want: 18},
		"by memory": {spec: ggscore.EngineSpec{
			AdapterSlots: 18, Bytes: 65200, Models: []ggscore.ModelSpec{{Bytes: 65100, AdapterBytes: 12}},
		}, held: []ggscore.BaseModel{""}, want: 8},
		"no memory beside the model": {spec: ggscore.EngineSpec{
			AdapterSlots: 18, Bytes: 65000, Models: []ggscore.ModelSpec{{Bytes: 65100, AdapterBytes: 12}},
		}, held: []ggscore.BaseModel{""}},
		"sizes unknown":               {spec: ggscore.EngineSpec{AdapterSlots: 18}, held: []ggscore.BaseModel{"small"}, want: 18},
		"beside the smaller of two":   {spec: twoModels(), held: []ggscore.BaseModel{"small"}, want: 18},
		"beside the larger of two":    {spec: twoModels(), held: []ggscore.BaseModel{"big"}, want: 13},
		"beside both":                 {spec: twoModels(), held: []ggscore.BaseModel{"small", "big"}},
		"beside one of another list":  {spec: twoModels(), held: []ggscore.BaseModel{"unlisted"}, want: 13},
		"beside none":                 {spec: twoModels(), want: 18},
		"adapters of different sizes": {spec: mixedAdapters(), held: []ggscore.BaseModel{"a", "b"}, want: 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			qt.New(t).Assert(tc.spec.AdapterCapacity(tc.held), qt.Equals, tc.want)
		})
	}
}

func TestMaxAdapters(t *testing.T) {
	t.Parallel()
	two, none := twoModels(), ggscore.EngineSpec{AdapterSlots: 18}
	qt.New(t).Check(two.MaxAdapters(), qt.Equals, 18)
	qt.New(t).Check(none.MaxAdapters(), qt.Equals, 18)
}

// Guards against orders to load a model beside others that leave no memory for it.
func TestModelFitsBesideOthers(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		spec     ggscore.EngineSpec
		model    ggscore.BaseModel
		held     []ggscore.BaseModel
		adapters int
		want     bool
	}{
		"into an empty runner":            {spec: twoModels(), model: "big", want: true},
		"the larger beside the smaller":   {spec: twoModels(), model: "big", held: []ggscore.BaseModel{"small"}},
		"another small one":               {spec: mixedAdapters(), model: "b", held: []ggscore.BaseModel{"a"}, want: true},
		"beside as many adapters as fit":  {spec: mixedAdapters(), model: "b", held: []ggscore.BaseModel{"a"}, adapters: 4, want: true},
		"beside more adapters":            {spec: mixedAdapters(), model: "b", held: []ggscore.BaseModel{"a"}, adapters: 5},
		"beside one of unknown size":      {spec: twoModels(), model: "small", held: []ggscore.BaseModel{"unlisted"}},
		"where the memory isn't known":    {spec: ggscore.EngineSpec{}, model: "b", held: []ggscore.BaseModel{"a"}},
		"larger than the runner's memory": {spec: ggscore.EngineSpec{Bytes: 1, Models: []ggscore.ModelSpec{{Name: "m", Bytes: 2}}}, model: "m", want: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			qt.New(t).Assert(tc.spec.Fits(tc.model, tc.held, tc.adapters), qt.Equals, tc.want)
		})
	}
}

// twoModels returns runners that have memory for one of two models.
func twoModels() ggscore.EngineSpec {
	return ggscore.EngineSpec{AdapterSlots: 18, Bytes: 66000, Models: []ggscore.ModelSpec{
		{Name: "small", Bytes: 30000, AdapterBytes: 66}, {Name: "big", Bytes: 65100, AdapterBytes: 66},
	}}
}

// mixedAdapters returns runners that have memory for two models, whose adapters differ in size.
func mixedAdapters() ggscore.EngineSpec {
	return ggscore.EngineSpec{AdapterSlots: 18, Bytes: 1000, Models: []ggscore.ModelSpec{
		{Name: "a", Bytes: 300, AdapterBytes: 10}, {Name: "b", Bytes: 300, AdapterBytes: 100},
	}}
}
