package ggspath_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspath"
)

func TestFind(t *testing.T) {
	t.Parallel()
	table := ggspath.NewTable(&ggscore.RoutingConfig{Routes: []ggscore.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for name, tc := range map[string]struct {
		host string
		path string
		want string
	}{
		"longest prefix":       {host: "a.example", path: "/x/y/z", want: "long"},
		"shorter prefix":       {host: "a.example", path: "/x/yz", want: "short"},
		"host with port":       {host: "b.example:80", path: "/x/1", want: "other"},
		"host in other case":   {host: "B.Example", path: "/x/1", want: "other"},
		"unknown host":         {host: "c.example", path: "/x/1"},
		"path above a prefix":  {host: "a.example", path: "/x"},
		"path beside a prefix": {host: "a.example", path: "/xy/"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := table.Find(tc.host, tc.path)
			got := ""
			if r != nil {
				got = r.Name
			}
			c.Assert(got, qt.Equals, tc.want)
		})
	}
}

func TestPick(t *testing.T) {
	t.Parallel()
	split := &ggscore.Route{Targets: []ggscore.RouteTarget{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for name, tc := range map[string]struct {
		route *ggscore.Route
		draw  float64
		want  ggscore.Service
	}{
		"first part":  {route: split, draw: 0.899, want: "a"},
		"second part": {route: split, draw: 0.901, want: "b"},
		"upper end":   {route: split, draw: 1, want: "b"},
		"no targets":  {route: &ggscore.Route{}, draw: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			qt.New(t).Assert(ggspath.Pick(tc.route, tc.draw), qt.Equals, tc.want)
		})
	}
}
