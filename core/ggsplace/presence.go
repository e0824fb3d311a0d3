package ggsplace

import (
	"net/netip"

	"greengageslip/core/ggsretry"
)

// A presence is what answers showed of the process at an endpoint's address.
type presence int

const (
	presenceUnknown presence = iota
	// presenceShown means that the process is the one that the entry names, and presenceRefuted that it is another one.
	presenceShown
	presenceRefuted
)

// indexAddresses finds the endpoints that share an address.
func (t *Table) indexAddresses() {
	all := make(map[netip.AddrPort][]*endpoint, len(t.endpoints))
	for _, e := range t.endpoints {
		if e.Addr.IsValid() {
			all[e.Addr] = append(all[e.Addr], e)
		}
	}
	t.sharing = map[netip.AddrPort][]*endpoint{}
	for a, l := range all {
		if len(l) > 1 {
			t.sharing[a] = l
		}
	}
}

// observe records what the end of a request shows of the process at the endpoint's address.
func (t *Table) observe(e *endpoint, r ggsretry.Result) {
	switch r {
	case ggsretry.ResultOK:
		for _, o := range t.sharing[e.Addr] {
			if o.presence == presenceShown {
				o.presence = presenceUnknown
			}
		}
		e.presence = presenceShown
	case ggsretry.ResultAbsent:
		e.presence = presenceRefuted
	case ggsretry.ResultFailed:
		// The process may have ended, and another one may take its address.
		e.presence = presenceUnknown
	case ggsretry.ResultNeutral:
	}
}

// displaced reports whether the process at the endpoint's address is probably that of another entry. A leaving one may have ended.
func (t *Table) displaced(e *endpoint) bool {
	for _, o := range t.sharing[e.Addr] {
		if o == e {
			continue
		}
		if o.presence == presenceShown && !o.Leaving || e.presence == presenceRefuted && o.presence != presenceRefuted {
			return true
		}
	}
	return false
}
