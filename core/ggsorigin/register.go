package ggsorigin

import (
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// A Register lists the software versions at which streams of each service can have begun. It outlasts the VMs.
type Register map[ggscore.Service][]ggscore.SoftwareVersion

// Sole returns the only version at which a stream of a service can have begun, if there is one.
func (r Register) Sole(s ggscore.Service) (ggscore.SoftwareVersion, bool) {
	if len(r[s]) != 1 {
		return "", false
	}
	return r[s][0], true
}

// Covers reports whether a service's endpoints have no version that the register lacks.
func (r Register) Covers(c *Census, s ggscore.Service) bool {
	return !slices.ContainsFunc(c.Versions(s), func(v ggscore.SoftwareVersion) bool { return !slices.Contains(r[s], v) })
}

// Next returns what the register has to list for a service. Versions that left are kept until the one that remains has
// been the only one for the given age. first is set if no stream began before the endpoints of the census served;
// without a record, the versions of earlier streams aren't known otherwise.
func (r Register) Next(now time.Time, c *Census, s ggscore.Service, age time.Duration, first bool) []ggscore.SoftwareVersion {
	current := c.Versions(s)
	if v, settled := c.Sole(now, s, age); settled {
		return []ggscore.SoftwareVersion{v}
	}
	if len(r[s]) == 0 && len(current) == 1 && !first {
		return nil
	}
	next := slices.Concat(r[s], current)
	slices.Sort(next)
	return slices.Compact(next)
}

// Begin returns the version at which a new stream has to begin while the register doesn't cover a service's versions,
// empty for any. Before the first record, before is the version that was the only one.
func (r Register) Begin(c *Census, s ggscore.Service, before ggscore.SoftwareVersion) ggscore.SoftwareVersion {
	if r.Covers(c, s) {
		return ""
	}
	current := c.Versions(s)
	recorded := r[s]
	if len(recorded) == 0 && before != "" {
		recorded = []ggscore.SoftwareVersion{before}
	}
	for _, v := range recorded {
		if slices.Contains(current, v) {
			return v
		}
	}
	return ""
}
