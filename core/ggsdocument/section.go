package ggsdocument

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"

	ggscore "greengageslip/core"
)

// The names of sections.
const (
	// SectionServices is the name of the section of services.
	SectionServices ggscore.SectionName = "services"
	// SectionPolicy is the name of the section of deployment-wide settings.
	SectionPolicy ggscore.SectionName = "policy"
	// MarketPrefix is the prefix of the names of market sections.
	MarketPrefix = "market/"
)

// MaxSectionBytes bounds a section's text. The platform's values are limited to 1 MB;
// the difference is reserved for the platform's own framing.
const MaxSectionBytes = 1_000_000

// KeyRetention is how long idempotency keys are kept. All processes must agree on it at
// all times. Otherwise one process could delete a key that another still grants. The
// document may therefore state the value but not change it.
const KeyRetention = 24 * time.Hour

// A Section is one section, valid on its own. Exactly one of Market, Services and
// Policy is set. It is immutable, so documents may share it.
type Section struct {
	Name     ggscore.SectionName
	Market   *ggscore.MarketSpec
	Services map[ggscore.Service]ggscore.ServiceSpec
	Policy   *ggscore.PolicySpec
}

// A MarketSource is a market's section as parsed, in the order of the text.
type MarketSource struct {
	Weight            int
	RequestsPerSecond float64
	Burst             int
	Adapters          []ggscore.AdapterSpec
	Uses              []UseSource
}

// A UseSource is a market's use of a service as parsed.
type UseSource struct {
	Service ggscore.Service
	Use     ggscore.UseSpec
}

// A ServiceSource is a service as parsed.
type ServiceSource struct {
	Spec       ggscore.ServiceSpec
	Operations []ggscore.OperationSpec
}

// NewMarketSection validates a market's section. It fails with a *SectionError.
func NewMarketSection(name ggscore.SectionName, s MarketSource) (*Section, error) {
	m, found := strings.CutPrefix(string(name), MarketPrefix)
	if !found {
		return nil, &SectionError{Section: name, Cause: &UnknownSectionError{Section: name}}
	}
	c := checker{section: name}
	c.name("", m)
	c.atLeast("weight", s.Weight, 1)
	c.nonNegative("requestsPerSecond", s.RequestsPerSecond)
	if s.RequestsPerSecond > 0 {
		c.atLeast("burst", s.Burst, 1)
	} else if s.Burst != 0 {
		c.fail("burst", &UnwantedValueError{Where: "a market without requestsPerSecond"})
	}
	spec := &ggscore.MarketSpec{
		Name:              ggscore.Market(m),
		Weight:            s.Weight,
		RequestsPerSecond: s.RequestsPerSecond,
		Burst:             s.Burst,
		Adapters:          make(map[string]ggscore.AdapterSpec, len(s.Adapters)),
		Uses:              make(map[ggscore.Service]ggscore.UseSpec, len(s.Uses)),
	}
	for i, a := range s.Adapters {
		_, dup := spec.Adapters[a.Name]
		c.enterNamed("", "adapters", i, a.Name, dup)
		c.adapter(a)
		spec.Adapters[a.Name] = a
	}
	for i, u := range s.Uses {
		_, dup := spec.Uses[u.Service]
		c.enterElement("", "uses", "service", i, string(u.Service), dup)
		c.use(u.Use)
		spec.Uses[u.Service] = u.Use
	}
	return c.result(&Section{Name: name, Market: spec})
}

// NewServicesSection validates the section of services. It fails with a *SectionError.
func NewServicesSection(list []ServiceSource) (*Section, error) {
	c := checker{section: SectionServices}
	m := make(map[ggscore.Service]ggscore.ServiceSpec, len(list))
	for i, s := range list {
		_, dup := m[s.Spec.Name]
		c.enterNamed("", "services", i, string(s.Spec.Name), dup)
		c.service(s.Spec, len(s.Operations))
		s.Spec.Operations = make(map[string]ggscore.OperationSpec, len(s.Operations))
		outer := c.prefix
		for j, o := range s.Operations {
			_, dup := s.Spec.Operations[o.Name]
			c.enterNamed(outer, "operations", j, o.Name, dup)
			c.operation(o)
			s.Spec.Operations[o.Name] = o
		}
		m[s.Spec.Name] = s.Spec
	}
	return c.result(&Section{Name: SectionServices, Services: m})
}

// NewPolicySection validates the section of deployment-wide settings. It fails with a
// *SectionError.
func NewPolicySection(p ggscore.PolicySpec) (*Section, error) {
	c := checker{section: SectionPolicy}
	if p.StallWeight < 0 || p.StallWeight > 1 {
		c.fail("stallWeight", &OutOfRangeError{Value: fmt.Sprint(p.StallWeight), Want: "0 to 1"})
	}
	c.positive("loadsPerSecond", p.LoadsPerSecond)
	c.atLeast("loadsAtFullSpeed", p.LoadsAtFullSpeed, 1)
	c.atLeast("loadsInTransit", p.LoadsInTransit, p.LoadsAtFullSpeed)
	c.duration("loadTime", p.LoadTime, time.Millisecond)
	c.duration("crossRegionPrice", p.CrossRegionPrice, 0)
	c.nonNegative("crossRegionBytesPerSecond", p.CrossRegionBytesPerSecond)
	if p.KeyRetention != KeyRetention {
		c.fail("keyRetention", &OutOfRangeError{
			Value: p.KeyRetention.String(), Want: KeyRetention.String() + ", which is fixed",
		})
	}
	c.atLeast("maxBodyBytes", p.MaxBodyBytes, 1)
	return c.result(&Section{Name: SectionPolicy, Policy: &p})
}

// DefaultPolicy returns the policy of a document without a policy section.
func DefaultPolicy() ggscore.PolicySpec {
	return ggscore.PolicySpec{
		StallWeight:               0.5,
		LoadsPerSecond:            4,
		LoadsAtFullSpeed:          3,
		LoadsInTransit:            24,
		LoadTime:                  250 * time.Millisecond,
		CrossRegionPrice:          100 * time.Millisecond,
		CrossRegionBytesPerSecond: 1_000_000,
		KeyRetention:              KeyRetention,
		MaxBodyBytes:              1 << 20,
	}
}

// DigestOf returns the digest of a section's text.
func DigestOf(text []byte) ggscore.Digest { return sha256.Sum256(text) }

// CheckSectionName returns an *UnknownSectionError if n is not a valid section name.
func CheckSectionName(n ggscore.SectionName) error {
	if n == SectionServices || n == SectionPolicy {
		return nil
	}
	m, found := strings.CutPrefix(string(n), MarketPrefix)
	if !found || !validName(m) {
		return &UnknownSectionError{Section: n}
	}
	return nil
}
