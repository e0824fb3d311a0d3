package ggsplace_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsplace"
	"greengageslip/core/ggsretry"
)

// Guards against requests to entries whose address is that of another endpoint, and against endpoints that get no requests because of
// such an entry.
func TestEndpointsThatShareAnAddress(t *testing.T) {
	t.Parallel()
	type answer struct {
		from   ggscore.EndpointID
		result ggsretry.Result
	}
	entry := func(id ggscore.EndpointID, addr string, leaving bool) ggscore.Instance {
		return ggscore.Instance{ID: id, Service: plain, Domain: "d0", Slots: 6, Addr: netip.MustParseAddrPort(addr), Leaving: leaving}
	}
	const shared, other = "10.0.0.1:80", "10.0.0.2:80"
	three := []ggscore.Instance{entry("a", shared, false), entry("b", shared, false), entry("c", shared, false)}
	for name, tc := range map[string]struct {
		list    []ggscore.Instance
		answers []answer
		// then is the list that follows the answers.
		then []ggscore.Instance
		want []ggscore.EndpointID
	}{
		"nothing known":                 {list: three, want: []ggscore.EndpointID{"a", "b", "c"}},
		"one answered":                  {list: three, answers: []answer{{"b", ggsretry.ResultOK}}, want: []ggscore.EndpointID{"b"}},
		"one isn't there":               {list: three, answers: []answer{{"b", ggsretry.ResultAbsent}}, want: []ggscore.EndpointID{"a", "c"}},
		"one answered, later another":   {list: three, answers: []answer{{"b", ggsretry.ResultOK}, {"c", ggsretry.ResultOK}}, want: []ggscore.EndpointID{"c"}},
		"one answered, and went":        {list: three, answers: []answer{{"b", ggsretry.ResultOK}, {"b", ggsretry.ResultAbsent}}, want: []ggscore.EndpointID{"a", "c"}},
		"one answered, and failed":      {list: three, answers: []answer{{"b", ggsretry.ResultOK}, {"b", ggsretry.ResultFailed}}, want: []ggscore.EndpointID{"a", "b", "c"}},
		"one answered, and was removed": {list: three, answers: []answer{{"b", ggsretry.ResultOK}}, then: []ggscore.Instance{three[0], three[2]}, want: []ggscore.EndpointID{"a", "c"}},
		"one answered, and leaves": {
			list: three, answers: []answer{{"b", ggsretry.ResultOK}}, then: []ggscore.Instance{three[0], entry("b", shared, true), three[2]},
			want: []ggscore.EndpointID{"a", "c"},
		},
		"an entry comes later":  {list: three[:1], answers: []answer{{"a", ggsretry.ResultOK}}, then: three[:2], want: []ggscore.EndpointID{"a"}},
		"an entry moves away":   {list: three[:2], answers: []answer{{"a", ggsretry.ResultOK}}, then: []ggscore.Instance{three[0], entry("b", other, false)}, want: []ggscore.EndpointID{"a", "b"}},
		"another process of it": {list: three[:1], answers: []answer{{"a", ggsretry.ResultAbsent}}, want: []ggscore.EndpointID{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := ggsplace.NewTable(ggsplace.Options{Domain: "d0", Seed: 1, Policy: ggscore.Policy{Off: []ggscore.Mechanism{ggscore.MechanismBreakers}}})
			h.SetInstances(at(0), tc.list)
			for _, a := range tc.answers {
				h.Sent(at(0), a.from)
				h.Ended(at(0), a.from, a.result)
			}
			if tc.then != nil {
				h.SetInstances(at(0), tc.then)
			}
			var got, tried []ggscore.EndpointID
			for range tc.want {
				x, err := h.Choose(at(0), ggsplace.Query{Service: plain, Tried: tried})
				c.Assert(err, qt.IsNil)
				got, tried = append(got, x.Instance.ID), append(tried, x.Instance.ID)
			}
			c.Check(got, qt.ContentEquals, tc.want)
			_, err := h.Choose(at(0), ggsplace.Query{Service: plain, Tried: tried})
			c.Check(err, qt.IsNotNil)
		})
	}
}
