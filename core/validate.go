package ggscore

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Bounds of values that other systems write. Values beyond them can't be meant, or can't be computed with.
const (
	// MaxEndpointIDBytes leaves room for the prefixes of the records that VMs keep of an endpoint: a key of the store
	// has at most 200 bytes.
	MaxEndpointIDBytes = 128
	// MaxNameBytes bounds the names of services, failure domains, routes, models and software versions.
	MaxNameBytes = 256
	// MaxSlots bounds the requests that run on an endpoint at once, and the adapters that it holds.
	MaxSlots = 1 << 16
	// MaxVersion bounds the versions of configurations and adapters. JSON numbers are exact up to it.
	MaxVersion = 1 << 53
	// MaxRouteTime bounds the timeouts and targets of a route.
	MaxRouteTime = 24 * time.Hour
	// MaxRouteAttempts bounds the endpoints that one request may run on.
	MaxRouteAttempts = 1000
	// MaxWeight bounds the weight of a route's target.
	MaxWeight = 1 << 30
	// MaxEndpointConns bounds the connections that an endpoint accepts.
	MaxEndpointConns = 1 << 24
	// MaxModelBytes bounds the sizes of models, adapters and an endpoint's memory.
	MaxModelBytes = 1 << 50
	// MaxClientBytes bounds the limits of what a client may send.
	MaxClientBytes = 1 << 40
)

// latestStart is the first time that can't be written as a date with a four-digit year.
var latestStart = time.Date(10000, time.January, 1, 0, 0, 0, 0, time.UTC) //nolint:gochecknoglobals // a constant

// Validate returns an *InvalidFieldError if the instance can't be used as it describes itself.
func (i *Instance) Validate() error {
	switch {
	case !isToken(string(i.ID), MaxEndpointIDBytes):
		return &InvalidFieldError{Field: "id", Reason: "want visible ASCII characters, not too many"}
	case !isName(string(i.Service)):
		return &InvalidFieldError{Field: "service", Reason: "empty or too long"}
	case !isName(string(i.Domain)):
		return &InvalidFieldError{Field: "domain", Reason: "empty or too long"}
	case !isName(string(i.Software)):
		return &InvalidFieldError{Field: "software", Reason: "empty or too long"}
	case i.Slots <= 0 || i.Slots > MaxSlots:
		return outOfRange("slots", i.Slots, 1, MaxSlots)
	case !isDialable(i.Addr):
		return &InvalidFieldError{Field: "address", Reason: i.Addr.String() + " is the address of no endpoint"}
	case i.StartedAt.Before(time.Unix(0, 0)) || !i.StartedAt.Before(latestStart):
		return &InvalidFieldError{Field: "startedAt", Reason: "not a time of this era"}
	}
	return nil
}

// Validate returns an *InvalidFieldError if the VM can't be as the list describes it.
func (v *VM) Validate() error {
	switch {
	case !isToken(string(v.ID), MaxEndpointIDBytes):
		return &InvalidFieldError{Field: "id", Reason: "want visible ASCII characters, not too many"}
	case len(v.Region) > MaxNameBytes:
		return &InvalidFieldError{Field: "region", Reason: "too long"}
	case !isName(string(v.Domain)):
		return &InvalidFieldError{Field: "domain", Reason: "empty or too long"}
	case len(v.Service) > MaxNameBytes:
		return &InvalidFieldError{Field: "service", Reason: "too long"}
	case !isDialable(v.Addr):
		return &InvalidFieldError{Field: "addr", Reason: v.Addr.String() + " is the address of no VM"}
	}
	return nil
}

// Validate returns an *InvalidFieldError if the route would refuse everything, or can't be computed with.
func (r *Route) Validate() error {
	total := 0
	for _, g := range r.Targets {
		if !isName(string(g.Service)) {
			return &InvalidFieldError{Field: "service", Reason: "empty or too long"}
		}
		if g.Weight < 0 || g.Weight > MaxWeight {
			return outOfRange("weight", g.Weight, 0, MaxWeight)
		}
		total += g.Weight
	}
	switch {
	case !isName(r.Name):
		return &InvalidFieldError{Field: "name", Reason: "empty or too long"}
	case r.Host == "":
		return &InvalidFieldError{Field: "host", Reason: "empty"}
	case !strings.HasPrefix(r.Prefix, "/"):
		return &InvalidFieldError{Field: "prefix", Reason: "doesn't begin with a slash"}
	case r.Timeout <= 0 || r.Timeout > MaxRouteTime:
		return outOfRange("timeout", r.Timeout, time.Millisecond, MaxRouteTime)
	case r.Target < 0 || r.Target > MaxRouteTime:
		return outOfRange("target", r.Target, 0, MaxRouteTime)
	case r.TargetGap < 0 || r.TargetGap > MaxRouteTime:
		return outOfRange("targetGap", r.TargetGap, 0, MaxRouteTime)
	case r.MaxAttempts < 1 || r.MaxAttempts > MaxRouteAttempts:
		return outOfRange("maxAttempts", r.MaxAttempts, 1, MaxRouteAttempts)
	case total <= 0:
		return &InvalidFieldError{Field: "targets", Reason: "no service has a weight"}
	}
	return nil
}

// Validate returns an *InvalidFieldError if the service's endpoints can't be as described.
func (b *BackendSpec) Validate() error {
	switch {
	case !isName(string(b.Service)):
		return &InvalidFieldError{Field: "name", Reason: "empty or too long"}
	case b.MaxConns < 0 || b.MaxConns > MaxEndpointConns:
		return outOfRange("maxConns", b.MaxConns, 0, MaxEndpointConns)
	case b.Engine == nil:
		return nil
	case b.Engine.AdapterSlots < 0 || b.Engine.AdapterSlots > MaxSlots:
		return outOfRange("adapterSlots", b.Engine.AdapterSlots, 0, MaxSlots)
	case b.Engine.Bytes < 0 || b.Engine.Bytes > MaxModelBytes:
		return outOfRange("bytes", b.Engine.Bytes, 0, MaxModelBytes)
	}
	for _, m := range b.Engine.Models {
		switch {
		case !isName(string(m.Name)):
			return &InvalidFieldError{Field: "model", Reason: "empty or too long"}
		case m.Bytes < 0 || m.Bytes > MaxModelBytes:
			return outOfRange("modelBytes", m.Bytes, 0, MaxModelBytes)
		case m.AdapterBytes < 0 || m.AdapterBytes > MaxModelBytes:
			return outOfRange("adapterBytes", m.AdapterBytes, 0, MaxModelBytes)
		}
	}
	return nil
}

// Validate returns an *InvalidFieldError if the limits can't be meant. Zero stands for the default.
func (l *ClientLimits) Validate() error {
	switch {
	case l.MaxHeaderBytes < 0 || l.MaxHeaderBytes > MaxClientBytes:
		return outOfRange("maxHeaderBytes", l.MaxHeaderBytes, 0, MaxClientBytes)
	case l.MaxBodyBytes < 0 || l.MaxBodyBytes > MaxClientBytes:
		return outOfRange("maxBodyBytes", l.MaxBodyBytes, 0, MaxClientBytes)
	}
	return nil
}

// outOfRange returns the error for a number that isn't in a range.
func outOfRange[T int | int64 | uint64 | time.Duration](field string, value, low, high T) error {
	return &InvalidFieldError{Field: field, Reason: fmt.Sprintf("%v is out of range: want %v to %v", value, low, high)}
}

// isName reports whether a text can be a name.
func isName(s string) bool { return s != "" && len(s) <= MaxNameBytes }

// isToken reports whether a text is fit for keys and headers, into which it is written as it is.
func isToken(s string, maxBytes int) bool {
	return s != "" && len(s) <= maxBytes && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r >= '\x7f' })
}

// isDialable reports whether an address can be that of one endpoint.
func isDialable(a netip.AddrPort) bool {
	ip := a.Addr().Unmap()
	return ip.IsValid() && a.Port() != 0 && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast() &&
		ip != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}
