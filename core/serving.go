package ggscore

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// A RouteKind determines whether requests on a route may be repeated.
type RouteKind int

// The kinds of routes.
const (
	// RouteUnsafe requests run at most once. It is the zero value because it is the safe
	// assumption for an unknown kind.
	RouteUnsafe RouteKind = iota
	// RouteSafe requests may run any number of times.
	RouteSafe
	// RouteStreaming requests are answered with a stream of events. They run at most once
	// unless the route is resumable.
	RouteStreaming
)

// String returns the kind's name in metrics and state dumps.
func (k RouteKind) String() string {
	switch k {
	case RouteSafe:
		return "safe"
	case RouteStreaming:
		return "streaming"
	case RouteUnsafe:
	}
	return "unsafe"
}

// A Route maps requests for a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable is set if a broken stream may be resumed at another endpoint.
	Resumable bool
	// Timeout is the longest time that a request waits.
	Timeout time.Duration
	// Target is the target latency of the answer, or of the first chunk for streams. TargetGap
	// is the target for the longest gap between a stream's chunks. Both are zero if not
	// configured.
	Target    time.Duration
	TargetGap time.Duration
	// Priority orders the routes' requests; a lower number is served first.
	Priority Priority
	// MaxAttempts is the number of endpoints that one request may run on.
	MaxAttempts int
	Targets     []RouteTarget
}

// A RouteTarget is a service and its relative share of a route's requests.
type RouteTarget struct {
	Service Service
	Weight  int
}

// Idempotent reports whether the route's requests may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStreaming && r.Resumable
}

// A ModelSpec describes a base model and its adapters.
type ModelSpec struct {
	Name  BaseModel
	Bytes int64
	// AdapterBytes is the size of each of its adapters.
	AdapterBytes int64
}

// TargetGap returns the smallest TargetGap of the routes to a service, zero if none is configured.
func (c *RoutingConfig) TargetGap(s Service) time.Duration {
	var least time.Duration
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.TargetGap <= 0 || least > 0 && r.TargetGap >= least {
			continue
		}
		if slices.ContainsFunc(r.Targets, func(t RouteTarget) bool { return t.Service == s }) {
			least = r.TargetGap
		}
	}
	return least
}

// An EngineSpec describes a model service's runners.
type EngineSpec struct {
	Models []ModelSpec
	// Bytes is the runner's memory for models and adapters together.
	Bytes        int64
	AdapterSlots int
}

// AdapterCapacity returns the number of adapters that a runner has slots and memory for beside the models that it holds. A
// runner that is ordered to load more crashes.
func (e *EngineSpec) AdapterCapacity(held []BaseModel) int {
	n := e.AdapterSlots
	if free, adapter := e.free(held); e.Bytes > 0 && adapter > 0 {
		n = min(n, int(free/adapter))
	}
	return max(n, 0)
}

// MaxAdapters returns the number of adapters that a runner has slots and memory for beside the model that leaves most.
func (e *EngineSpec) MaxAdapters() int {
	if len(e.Models) == 0 {
		return e.AdapterCapacity(nil)
	}
	n := 0
	for _, m := range e.Models {
		n = max(n, e.AdapterCapacity([]BaseModel{m.Name}))
	}
	return n
}

// Fits reports whether a runner has memory for a model beside the models and the number of adapters that it holds. A runner
// that holds no model has memory for each of its service's. If the memory isn't known, it is taken for that of one model.
func (e *EngineSpec) Fits(m BaseModel, held []BaseModel, adapters int) bool {
	if len(held) == 0 {
		return true
	}
	free, adapter := e.free(append(slices.Clone(held), m))
	return e.Bytes > 0 && free >= int64(adapters)*adapter
}

// free returns the memory that models leave for adapters, and the size of the largest of their adapters.
func (e *EngineSpec) free(held []BaseModel) (free, adapter int64) {
	free = e.Bytes
	for _, m := range held {
		s := e.model(m)
		free, adapter = free-s.Bytes, max(adapter, s.AdapterBytes)
	}
	return free, adapter
}

// model returns a model. One that isn't among the service's is as large as the largest of these.
func (e *EngineSpec) model(name BaseModel) ModelSpec {
	largest := ModelSpec{Name: name}
	for _, m := range e.Models {
		if m.Name == name {
			return m
		}
		largest.Bytes, largest.AdapterBytes = max(largest.Bytes, m.Bytes), max(largest.AdapterBytes, m.AdapterBytes)
	}
	return largest
}

// A BackendSpec describes the endpoints of a service.
type BackendSpec struct {
	Service Service
	// MaxConns is the number of connections that an endpoint accepts from all callers together.
	MaxConns int
	// Engine is nil for plain services.
	Engine *EngineSpec
}

// A ClientLimits bounds what a client may send.
type ClientLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// A RoutingConfig is an accepted state of routes and services. It is immutable
// once built.
type RoutingConfig struct {
	Version  uint64
	Routes   []Route
	Services map[Service]BackendSpec
	Limits   ClientLimits
	// Invalid are the parts that can't be read. They are missing above.
	Invalid []InvalidPart
}

// A ConfigPart is a kind of part of a configuration that is read by itself.
type ConfigPart int

// The kinds of parts.
const (
	PartRoute ConfigPart = iota
	PartService
	PartLimits
)

// String returns the kind's name in logs and state dumps.
func (p ConfigPart) String() string {
	switch p {
	case PartRoute:
		return "route"
	case PartService:
		return "service"
	case PartLimits:
		return "limits"
	}
	return "ConfigPart(" + strconv.Itoa(int(p)) + ")"
}

// An InvalidPart is a part of a configuration that can't be read. Its name is empty if that can't be read either.
type InvalidPart struct {
	Part   ConfigPart
	Name   string
	Reason string
}

// String names the part.
func (p InvalidPart) String() string {
	if p.Name == "" {
		return p.Part.String()
	}
	return p.Part.String() + " " + p.Name
}

// Complete returns the configuration with those parts that can't be read in the form that they have in last, which may
// be nil. Parts that aren't there either remain invalid.
func (c *RoutingConfig) Complete(last *RoutingConfig) *RoutingConfig {
	if last == nil || len(c.Invalid) == 0 {
		return c
	}
	o := &RoutingConfig{Version: c.Version, Routes: slices.Clone(c.Routes), Services: maps.Clone(c.Services), Limits: c.Limits}
	for _, p := range c.Invalid {
		if !o.restore(p, last) {
			o.Invalid = append(o.Invalid, p)
		}
	}
	return o
}

// restore adds a part in its form in last, and reports whether it is there.
func (c *RoutingConfig) restore(p InvalidPart, last *RoutingConfig) bool {
	switch p.Part {
	case PartRoute:
		i := slices.IndexFunc(last.Routes, func(r Route) bool { return r.Name == p.Name && p.Name != "" })
		if i < 0 {
			return false
		}
		c.Routes = append(c.Routes, last.Routes[i])
	case PartService:
		s, ok := last.Services[Service(p.Name)]
		if !ok {
			return false
		}
		c.Services[s.Service] = s
	case PartLimits:
		c.Limits = last.Limits
	}
	return true
}
