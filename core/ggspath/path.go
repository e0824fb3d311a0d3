// Package ggspath finds the route of a request by its host and path.
//
// # Usage
//
//	t := ggspath.NewTable(config)
//	r := t.Find("calls.example", "/deposits/release")
//	s := t.Pick(r, rand.Float64())
//
// A Table is immutable, so any number of goroutines may use it.
package ggspath

import (
	"net"
	"slices"
	"strings"

	ggscore "greengageslip/core"
)

// A Table holds the routes of a configuration.
type Table struct {
	Config *ggscore.RoutingConfig
	// hosts has each host's routes, longest prefix first.
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

// Find returns the route of the host whose prefix is the longest that begins
// the path, or nil.
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

// Pick returns the service that a draw between 0 and 1 falls on by the
// weights of the route's targets.
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
