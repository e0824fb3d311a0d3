package ggsdocument_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
)

const second = time.Second

func section(c *qt.C) func(s *ggsdocument.Section, err error) *ggsdocument.Section {
	return func(s *ggsdocument.Section, err error) *ggsdocument.Section {
		c.Helper()
		c.Assert(err, qt.IsNil)
		return s
	}
}

func services(c *qt.C, names ...ggscore.Service) *ggsdocument.Section {
	var l []ggsdocument.ServiceSource
	for _, n := range names {
		l = append(l, ggsdocument.ServiceSource{Spec: ggscore.ServiceSpec{
			Name: n, Base: ggscore.BaseModel("base-" + n), Slots: 4, AdapterSlots: 2,
		}})
	}
	l = append(l, ggsdocument.ServiceSource{
		Spec: ggscore.ServiceSpec{Name: "ledger", Kind: ggscore.KindPlain, Slots: 4},
		Operations: []ggscore.OperationSpec{
			{Name: "release", Operation: ggscore.Operation{Method: "POST", Path: "/release"}, NonIdempotent: true},
		},
	})
	return section(c)(ggsdocument.NewServicesSection(l))
}

func marketSource(uses ...ggscore.Service) ggsdocument.MarketSource {
	s := ggsdocument.MarketSource{
		Weight: 1,
		Adapters: []ggscore.AdapterSpec{
			{Name: "deposits", Base: "base-chat", Versions: []ggscore.Version{"v1", "v2"}, Current: "v2"},
		},
	}
	for _, u := range uses {
		s.Uses = append(s.Uses, ggsdocument.UseSource{Service: u, Use: ggscore.UseSpec{Deadline: second}})
	}
	return s
}

func market(c *qt.C, uses ...ggscore.Service) *ggsdocument.Section {
	return section(c)(ggsdocument.NewMarketSection("market/cr", marketSource(uses...)))
}

func TestBuild(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		services []ggscore.Service
		uses     []ggscore.Service
		want     string
	}{
		"valid":              {[]ggscore.Service{"chat"}, []ggscore.Service{"chat", "ledger"}, ""},
		"no such service":    {[]ggscore.Service{"chat"}, []ggscore.Service{"chat", "gone"}, `market/cr: uses\["gone"\].service: no service "gone" in section services`},
		"no such base model": {[]ggscore.Service{"other"}, []ggscore.Service{"other"}, `market/cr: adapters\["deposits"\].baseModel: no service of the market serves base model "base-chat"`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d, err := ggsdocument.Build(7, []*ggsdocument.Section{market(c, tc.uses...), services(c, tc.services...)})
			if tc.want != "" {
				var e *ggsdocument.SectionError
				c.Assert(errors.As(err, &e), qt.IsTrue)
				c.Assert(e, qt.ErrorMatches, tc.want)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(d.Revision, qt.Equals, ggscore.Revision(7))
			c.Assert(d.Policy, qt.Equals, ggsdocument.DefaultPolicy())
			c.Assert(d.Markets["cr"].Adapters["deposits"].Current, qt.Equals, ggscore.Version("v2"))
		})
	}
}

func TestSectionChecks(t *testing.T) {
	t.Parallel()
	model := ggscore.ServiceSpec{Name: "chat", Base: "b", Slots: 1, AdapterSlots: 1}
	plain := ggscore.ServiceSpec{Name: "ledger", Kind: ggscore.KindPlain, Slots: 1}
	operation := []ggscore.OperationSpec{{Name: "o", Operation: ggscore.Operation{Method: "GET", Path: "/o"}}}
	policy := func(change func(p *ggscore.PolicySpec)) error {
		p := ggsdocument.DefaultPolicy()
		change(&p)
		_, err := ggsdocument.NewPolicySection(p)
		return err
	}
	marketWith := func(change func(s *ggsdocument.MarketSource)) error {
		s := marketSource("chat")
		change(&s)
		_, err := ggsdocument.NewMarketSection("market/cr", s)
		return err
	}
	service := func(s ggscore.ServiceSpec, o []ggscore.OperationSpec, change func(s *ggscore.ServiceSpec)) error {
		change(&s)
		_, err := ggsdocument.NewServicesSection([]ggsdocument.ServiceSource{{Spec: s, Operations: o}})
		return err
	}
	for name, tc := range map[string]struct {
		err  error
		want string
	}{
		"default policy":     {policy(func(*ggscore.PolicySpec) {}), ""},
		"stall weight":       {policy(func(p *ggscore.PolicySpec) { p.StallWeight = -0.1 }), "policy: stallWeight: .*"},
		"loads in transit":   {policy(func(p *ggscore.PolicySpec) { p.LoadsInTransit = 2 }), "policy: loadsInTransit: .*at least 3"},
		"key retention":      {policy(func(p *ggscore.PolicySpec) { p.KeyRetention = 48 * time.Hour }), "policy: keyRetention: .*want 24h0m0s, which is fixed"},
		"weight":             {marketWith(func(s *ggsdocument.MarketSource) { s.Weight = 0 }), "market/cr: weight: .*"},
		"burst without rate": {marketWith(func(s *ggsdocument.MarketSource) { s.Burst = 3 }), "market/cr: burst: must not be set.*"},
		"rate without burst": {marketWith(func(s *ggsdocument.MarketSource) { s.RequestsPerSecond = 3 }), "market/cr: burst: .*at least 1"},
		"two of a name": {marketWith(func(s *ggsdocument.MarketSource) {
			s.Adapters = append(s.Adapters, s.Adapters[0])
		}), `market/cr: adapters\[1\].name: duplicate name "deposits"`},
		"two of a use": {marketWith(func(s *ggsdocument.MarketSource) {
			s.Uses = append(s.Uses, s.Uses[0])
		}), `market/cr: uses\[1\].service: duplicate name "chat"`},
		"no versions":      {marketWith(func(s *ggsdocument.MarketSource) { s.Adapters[0].Versions = nil }), `market/cr: adapters\["deposits"\].versions: must be set`},
		"no deadline":      {marketWith(func(s *ggsdocument.MarketSource) { s.Uses[0].Use.Deadline = 0 }), `market/cr: uses\["chat"\].deadline: .*`},
		"deferred too far": {marketWith(func(s *ggsdocument.MarketSource) { s.Uses[0].Use.Deferrable = 2 * second }), `market/cr: uses\["chat"\].deferrable: .*`},
		"model":            {service(model, nil, func(*ggscore.ServiceSpec) {}), ""},
		"plain":            {service(plain, operation, func(*ggscore.ServiceSpec) {}), ""},
		"model without base": {
			service(model, nil, func(s *ggscore.ServiceSpec) { s.Base = "" }), `services: services\["chat"\].baseModel: must be set`,
		},
		"model with operations":    {service(model, operation, func(*ggscore.ServiceSpec) {}), `services: services\["chat"\].operations: must not.*`},
		"plain with adapter slots": {service(plain, operation, func(s *ggscore.ServiceSpec) { s.AdapterSlots = 1 }), `services: services\["ledger"\].adapterSlots: must not.*`},
		"plain without operations": {service(plain, nil, func(*ggscore.ServiceSpec) {}), `services: services\["ledger"\].operations: must be set`},
		"no slots":                 {service(plain, operation, func(s *ggscore.ServiceSpec) { s.Slots = 0 }), `services: services\["ledger"\].slots: .*`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			if tc.want == "" {
				c.Assert(tc.err, qt.IsNil)
				return
			}
			c.Assert(tc.err, qt.ErrorMatches, tc.want)
		})
	}
}

func TestResolve(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d, err := ggsdocument.Build(1, []*ggsdocument.Section{
		services(c, "chat", "draw"), market(c, "chat", "draw", "ledger"),
	})
	c.Assert(err, qt.IsNil)
	for name, tc := range map[string]struct {
		market  ggscore.Market
		service ggscore.Service
		model   string
		want    ggscore.AdapterRef
		err     string
		kind    ggscore.FailureKind
	}{
		"current":         {"cr", "chat", "deposits", ggscore.AdapterRef{Name: "deposits", Version: "v2"}, "", ""},
		"version":         {"cr", "chat", "deposits@v1", ggscore.AdapterRef{Name: "deposits", Version: "v1"}, "", ""},
		"unknown market":  {"wa", "chat", "deposits", ggscore.AdapterRef{}, `unknown market "wa"`, ggscore.FailureUnknownMarket},
		"unknown service": {"cr", "gone", "deposits", ggscore.AdapterRef{}, `market "cr" uses no service "gone"`, ggscore.FailureUnknownService},
		"plain service":   {"cr", "ledger", "deposits", ggscore.AdapterRef{}, `market "cr" uses no service "ledger"`, ggscore.FailureUnknownService},
		"unknown adapter": {"cr", "chat", "gone@v1", ggscore.AdapterRef{}, `market "cr" has no adapter "gone@v1"`, ggscore.FailureUnknownAdapter},
		"unknown version": {"cr", "chat", "deposits@v3", ggscore.AdapterRef{}, `market "cr" has no adapter "deposits@v3"`, ggscore.FailureUnknownAdapter},
		"other base":      {"cr", "draw", "deposits", ggscore.AdapterRef{}, `adapter "deposits@v2" needs base model .*`, ggscore.FailureUnknownAdapter},
		"malformed":       {"cr", "chat", "@v1", ggscore.AdapterRef{}, `bad adapter reference .*`, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r, err := ggsdocument.Resolve(d, tc.market, tc.service, tc.model)
			if tc.err == "" {
				c.Assert(err, qt.IsNil)
				c.Assert(r.Adapter, qt.Equals, tc.want)
				return
			}
			c.Assert(err, qt.ErrorMatches, tc.err)
			var k interface{ Kind() ggscore.FailureKind }
			if errors.As(err, &k) {
				c.Assert(k.Kind(), qt.Equals, tc.kind)
			}
		})
	}
	r, err := ggsdocument.ResolveOperation(d, "cr", "ledger", "release")
	c.Assert(err, qt.IsNil)
	c.Assert(r.Operation.NonIdempotent, qt.IsTrue)
	_, err = ggsdocument.ResolveOperation(d, "cr", "ledger", "refund")
	c.Assert(err, qt.ErrorMatches, `service "ledger" has no operation "refund"`)
	_, err = ggsdocument.ResolveOperation(d, "cr", "chat", "release")
	c.Assert(err, qt.ErrorMatches, `market "cr" uses no service "chat"`)
}

func TestWatchers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var members []ggscore.VMID
	for i := range 100 {
		members = append(members, ggscore.VMID(fmt.Sprint("vm", i)))
	}
	w := ggsdocument.Watchers("a", members, 2)
	c.Assert(w, qt.HasLen, 2)
	var rest []ggscore.VMID
	for i := len(members) - 1; i >= 0; i-- {
		if members[i] != w[0] {
			rest = append(rest, members[i], members[i])
		}
	}
	c.Assert(ggsdocument.Watchers("a", rest, 2)[0], qt.Equals, w[1])
	c.Assert(ggsdocument.Watchers("a", members[:1], 2), qt.HasLen, 1)
}
