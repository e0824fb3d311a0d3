package ggsorigin

import (
	"maps"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// A Census follows which software versions the endpoints of each service have.
type Census struct {
	services map[ggscore.Service]*census
}

// A census is the versions of one service.
type census struct {
	versions map[ggscore.SoftwareVersion]bool
	// since is when the set of versions last changed, or was first known. replaced is set if another set was known before.
	since    time.Time
	replaced bool
}

// NewCensus returns an empty census.
func NewCensus() *Census { return &Census{services: map[ggscore.Service]*census{}} }

// Observe replaces the list of endpoints. It returns the services that had one version and have
// several now. A service without endpoints keeps its versions.
func (c *Census) Observe(now time.Time, list []ggscore.Instance) []ggscore.Service {
	seen := map[ggscore.Service]map[ggscore.SoftwareVersion]bool{}
	for _, i := range list {
		if seen[i.Service] == nil {
			seen[i.Service] = map[ggscore.SoftwareVersion]bool{}
		}
		seen[i.Service][i.Software] = true
	}
	var mixed []ggscore.Service
	for s, vs := range seen {
		o := c.services[s]
		if o != nil && equal(o.versions, vs) {
			continue
		}
		if o != nil && len(o.versions) == 1 && len(vs) > 1 {
			mixed = append(mixed, s)
		}
		c.services[s] = &census{versions: vs, since: now, replaced: o != nil}
	}
	return mixed
}

func equal(a, b map[ggscore.SoftwareVersion]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for v := range a {
		if !b[v] {
			return false
		}
	}
	return true
}

// Sole returns the only software version that a service has had for at least the given time.
func (c *Census) Sole(now time.Time, s ggscore.Service, age time.Duration) (ggscore.SoftwareVersion, bool) {
	o := c.services[s]
	if o == nil || len(o.versions) != 1 || now.Sub(o.since) < age {
		return "", false
	}
	for v := range o.versions {
		return v, true
	}
	return "", false
}

// Versions returns the software versions of a service, sorted.
func (c *Census) Versions(s ggscore.Service) []ggscore.SoftwareVersion {
	o := c.services[s]
	if o == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(o.versions))
}

// MixedWithin reports whether a service has had several software versions, or one after the other, within the given time.
func (c *Census) MixedWithin(now time.Time, s ggscore.Service, age time.Duration) bool {
	o := c.services[s]
	return o != nil && (len(o.versions) > 1 || o.replaced && now.Sub(o.since) < age)
}

// Mixed reports whether a service has several software versions.
func (c *Census) Mixed(s ggscore.Service) bool {
	o := c.services[s]
	return o != nil && len(o.versions) > 1
}
