package ggscore

import (
	"slices"
	"time"
)

// A RouteKind says what may be repeated on a route.
type RouteKind int

// The kinds of routes.
const (
	// RouteUnsafe requests run at most once. It is the zero value, so that what
	// isn't known is treated with the most care.
	RouteUnsafe RouteKind = iota
	// RouteSafe requests may run any number of times.
	RouteSafe
	// RouteStreaming answers are events; they run at most once unless the route
	// is resumable.
	RouteStreaming
)

// String returns the kind's name in metrics and dumps.
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

// A Route sends requests of a host below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable says that a broken stream may go on at another endpoint.
	Resumable bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Target is the time within which callers want the answer, of streams the first
	// piece, and GapAim the longest pause between a stream's pieces that they want.
	// Both are zero where the configuration doesn't say.
	Target time.Duration
	GapAim time.Duration
	// Priority orders routes; a lower number is served first.
	Priority Priority
	// MaxAttempts is the number of endpoints that one request may run on.
	MaxAttempts int
	Targets     []RouteTarget
}

// A RouteTarget is a service and its share of a route's requests.
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

// GapAim returns the shortest pause between pieces that a route to a service wants,
// zero where none wants one.
func (c *RoutingConfig) GapAim(s Service) time.Duration {
	var aim time.Duration
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.GapAim <= 0 || aim > 0 && r.GapAim >= aim {
			continue
		}
		if slices.ContainsFunc(r.Targets, func(t RouteTarget) bool { return t.Service == s }) {
			aim = r.GapAim
		}
	}
	return aim
}

// An EngineSpec describes a model service's runners.
type EngineSpec struct {
	Models []ModelSpec
	// Bytes is the memory for models and adapters together.
	Bytes        int64
	AdapterSlots int
}

// Places returns the number of adapters of its first model that a runner has
// room for beside it: it crashes when it is ordered to load more.
func (e *EngineSpec) Places() int {
	n := e.AdapterSlots
	if len(e.Models) > 0 && e.Bytes > 0 && e.Models[0].AdapterBytes > 0 {
		n = min(n, int((e.Bytes-e.Models[0].Bytes)/e.Models[0].AdapterBytes))
	}
	return max(n, 0)
}

// A BackendSpec describes the endpoints of a service.
type BackendSpec struct {
	Service Service
	// MaxConns is the number of connections that an endpoint takes from all
	// callers together.
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
}
