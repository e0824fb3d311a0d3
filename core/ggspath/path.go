// Package ggspath selects the route of a request by its host and path, and a service of the
// route by weight.
//
// # Usage
//
//	t := ggspath.NewTable(config)
//	r := t.Find("calls.example", "/deposits/release")
//	s := ggspath.Pick(r, rand.Float64())
//
// A Table is immutable and safe for concurrent use.
package ggspath

import (
	"net"
	"slices"
	"strings"

	ggscore "greengageslip/core"
)

// A Table is a lookup table for the routes of a configuration.
type Table struct {
	Config *ggscore.RoutingConfig
	// hosts maps lower-case hosts to their routes, longest prefix first.
	hosts map[string][]*ggscore.Route
}

// NewTable returns the table of a configuration.
func NewTable(c *ggscore.RoutingConfig) *Table {
	t := &Table{Config: c, hosts: map[string][]*ggscore.Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		h := strings.ToLower(r.Host)
		t.hosts[h] = append(t.hosts[h], r)
	}
	for _, l := range t.hosts {
		slices.SortStableFunc(l, func(a, b *ggscore.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Find returns the host's route with the longest prefix of the path, nil for none. The host may
// include a port and is matched case-insensitively.
func (t *Table) Find(host, path string) *ggscore.Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick selects one of the route's targets in proportion to their weights, by a random number
// draw between 0 and 1. It returns the target's service, empty if the route has no targets.
func Pick(r *ggscore.Route, draw float64) ggscore.Service {
	total := 0
	for _, g := range r.Targets {
		total += g.Weight
	}
	at := draw * float64(total)
	for _, g := range r.Targets {
		at -= float64(g.Weight)
		if at < 0 {
			return g.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
