package ggscore

import "slices"

// A Mechanism is a part of an edge's decisions that can be switched off, so that what
// it is worth can be measured again.
type Mechanism string

// The mechanisms.
const (
	// MechanismTurns lets prompts begin at an endpoint one after the other.
	MechanismTurns Mechanism = "turns"
	// MechanismHomes has all VMs load an adapter at the same endpoints.
	MechanismHomes Mechanism = "homes"
	// MechanismCopies gives popular adapters more homes.
	MechanismCopies Mechanism = "copies"
	// MechanismRelease evicts rare adapters as soon as their requests have ended.
	MechanismRelease Mechanism = "release"
	// MechanismDemand evicts the adapter that is missed least by the demand of all
	// VMs, and not the longest unused.
	MechanismDemand Mechanism = "demand"
	// MechanismWantedFirst loads the most wanted adapter first.
	MechanismWantedFirst Mechanism = "wantedFirst"
	// MechanismFailures counts failures as delay.
	MechanismFailures Mechanism = "failures"
	// MechanismBreakers leaves out endpoints that fail in a row.
	MechanismBreakers Mechanism = "breakers"
	// MechanismRegions counts the way to another region as delay.
	MechanismRegions Mechanism = "regions"
	// MechanismQuestions asks for loads under way beside the orders.
	MechanismQuestions Mechanism = "questions"
	// MechanismWarm prefers endpoints that keep an adapter in their own memory.
	MechanismWarm Mechanism = "warm"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechanismTurns, MechanismHomes, MechanismCopies, MechanismRelease, MechanismDemand,
		MechanismWantedFirst, MechanismFailures, MechanismBreakers, MechanismRegions, MechanismQuestions, MechanismWarm,
	}
}

// A Policy says which mechanisms an edge goes by. The zero value has all on.
type Policy struct{ Off []Mechanism }

// On reports whether a mechanism is on.
func (p Policy) On(m Mechanism) bool { return !slices.Contains(p.Off, m) }
