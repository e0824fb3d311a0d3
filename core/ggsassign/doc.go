// Package ggsassign decides which base models the runners of a service load, and which they give up.
//
// # Usage
//
//	t := ggsassign.NewTable()
//	orders := t.Decide(now, service, engine, runners) // every second, and when a runner is empty
//	o, ok := orders[endpoint]                         // unload o.Unload, then load o.Load
//
// An empty runner loads a model that no runner holds, or else the one whose runners have most requests in flight. If a model
// has had no runner for replaceAfter, and no empty runner takes it, a runner of another model that has several takes it. Models
// that the service doesn't have any more are given up after the same time.
//
// All VMs decide the same from the same list of runners, so that the owners of two runners don't load one model twice.
// A Table has no clock and no lock of its own.
package ggsassign
