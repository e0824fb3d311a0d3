package ggscore

import "slices"

// A Mechanism is a part of an edge's decisions that can be disabled, so that its effect can be
// measured.
type Mechanism string

// The mechanisms.
const (
	// MechanismTurns gives each prompt a turn, so that an endpoint prefills one prompt after the
	// other.
	MechanismTurns Mechanism = "turns"
	// MechanismHomes makes all VMs load an adapter at the same endpoints, its homes.
	MechanismHomes Mechanism = "homes"
	// MechanismReplicas gives popular adapters more homes.
	MechanismReplicas Mechanism = "copies"
	// MechanismRelease evicts rare adapters as soon as their requests have ended.
	MechanismRelease Mechanism = "release"
	// MechanismDemand evicts the adapter with the lowest demand of all VMs, rather than the
	// least recently used one.
	MechanismDemand Mechanism = "demand"
	// MechanismWantedFirst loads the adapter with the highest demand first.
	MechanismWantedFirst Mechanism = "wantedFirst"
	// MechanismFailures makes endpoints with recent failures less preferred, as if the failures
	// added delay.
	MechanismFailures Mechanism = "failures"
	// MechanismBreakers excludes endpoints after consecutive failures.
	MechanismBreakers Mechanism = "breakers"
	// MechanismRegions makes endpoints in other regions less preferred, by the latency between
	// regions.
	MechanismRegions Mechanism = "regions"
	// MechanismConcurrentPolls polls instances for loads in transit while other orders are in
	// flight.
	MechanismConcurrentPolls Mechanism = "questions"
	// MechanismWarm prefers endpoints that probably still have an evicted adapter in their
	// memory.
	MechanismWarm Mechanism = "warm"
	// MechanismPermits keeps the requests in flight at shed-limited endpoints within their slots.
	MechanismPermits Mechanism = "permits"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechanismTurns, MechanismHomes, MechanismReplicas, MechanismRelease, MechanismDemand,
		MechanismWantedFirst, MechanismFailures, MechanismBreakers, MechanismRegions, MechanismConcurrentPolls, MechanismWarm, MechanismPermits,
	}
}

// A Policy selects the mechanisms of an edge. The zero value enables all.
type Policy struct{ Off []Mechanism }

// On reports whether a mechanism is enabled.
func (p Policy) On(m Mechanism) bool { return !slices.Contains(p.Off, m) }
