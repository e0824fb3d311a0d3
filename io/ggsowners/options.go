package ggsowners

import (
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsowner"
)

// Options set how ownership is kept.
type Options struct {
	Domain ggscore.Domain
	// Groups is the number of groups of the domain. All its dispatchers have
	// to agree on it: it changes only while none of them runs.
	Groups int
	Limits ggsowner.Limits
	// RenewEvery is the time between renewals, PollEvery that between looks at
	// records of others. Both are jittered.
	RenewEvery  time.Duration
	PollEvery   time.Duration
	CallTimeout time.Duration
	// AbsentFor is how long the platform's list must lack a VM before its pins
	// go: the list lags.
	AbsentFor time.Duration
	// LoadingFor is how long an adapter that was ordered stays protected
	// though no report names it yet.
	LoadingFor time.Duration
	// Busy reports whether any of the endpoints has a run in progress of this
	// process, counted from before Check was called for it.
	Busy func([]ggscore.EndpointID) bool
}

// DefaultOptions returns the options for a domain of few endpoints.
func DefaultOptions(d ggscore.Domain) Options {
	return Options{
		Domain:      d,
		Groups:      1,
		Limits:      ggsowner.Limits{TTL: 9 * time.Second, Margin: 2 * time.Second},
		RenewEvery:  3 * time.Second,
		PollEvery:   2 * time.Second,
		CallTimeout: 2 * time.Second,
		AbsentFor:   time.Minute,
		LoadingFor:  30 * time.Second,
		Busy:        func([]ggscore.EndpointID) bool { return false },
	}
}
