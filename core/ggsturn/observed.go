package ggsturn

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

const (
	// While turns aren't enforced, one in observedDivisor of a service's endpoints is
	// observed, and at least minObserved.
	minObserved     = 8
	observedDivisor = 8
	// observeAllFraction is the fraction of degraded streams from which all endpoints are
	// observed, for observeAllDuration. It is far below maxDegraded, so that all turns are known
	// before turns are enforced. The duration covers the time in which turns may have to be
	// enforced again.
	observeAllFraction = 0.05
	observeAllDuration = time.Minute
	// longPrefill is the prefill time from which a turn is always announced: all prompts that
	// are sent to the same endpoint meanwhile wait for the whole of it.
	longPrefill = 100 * time.Millisecond
)

// SetEndpoints sets the endpoints of a service in a large fleet, where announcing each turn to
// all VMs costs more than it gains. While turns aren't enforced, turns are announced only at a
// subset of the endpoints, the same on all VMs. Streams at these endpoints are taken as
// representative.
func (t *Table) SetEndpoints(s ggscore.Service, ids []ggscore.EndpointID) {
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b ggscore.EndpointID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	v := t.service(s)
	v.observed = map[ggscore.EndpointID]bool{}
	for _, id := range ranked[:min(max(minObserved, len(ranked)/observedDivisor), len(ranked))] {
		v.observed[id] = true
	}
}

// knowsAllTurns reports whether this VM learns of every turn (the planned prefill of a prompt) at
// an endpoint, because all VMs announce theirs.
func (v *service) knowsAllTurns(now time.Time, id ggscore.EndpointID) bool {
	return v.observed == nil || v.observed[id] || v.mode.observesAll(now)
}

// observesAll reports whether all endpoints are observed, because turns are enforced or may
// have to be soon.
func (m *modeController) observesAll(now time.Time) bool {
	return m.enforced || now.Before(m.observeAllUntil)
}

// updateObserveAll starts or extends the observation of all endpoints if too many streams are
// degraded.
func (m *modeController) updateObserveAll(now time.Time) {
	if m.streams >= minStreams && m.degraded >= observeAllFraction*m.streams {
		m.observeAllUntil = now.Add(observeAllDuration)
	}
}

// Announces reports whether a turn has to be announced to peers: if its endpoint is observed or
// its prefill is long.
func (t *Table) Announces(now time.Time, n ggscore.PromptTurn) bool {
	v := t.service(n.Service)
	return v.knowsAllTurns(now, n.Endpoint) || v.usualPrefillTime(n.Tokens) >= longPrefill
}
