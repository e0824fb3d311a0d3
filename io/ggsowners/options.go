package ggsowners

import (
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsowner"
)

// Options holds the settings of Owners.
type Options struct {
	Domain ggscore.Domain
	// Groups is the number of groups into which the domain's endpoints are divided. A group has
	// one owner. All dispatchers of the domain must use the same number, so it may change only
	// while none of them runs.
	Groups int
	Limits ggsowner.Limits
	// RenewInterval is the mean interval between renewals of the lease. Intervals are
	// jittered.
	RenewInterval time.Duration
	// PollInterval is the mean interval between reads of the groups' records. Intervals are
	// jittered.
	PollInterval time.Duration
	// CallTimeout bounds each operation on the platform's service.
	CallTimeout time.Duration
	// AbsenceTimeout is how long a VM must be missing from the platform's list before its pins
	// are removed. The list is updated with a delay.
	AbsenceTimeout time.Duration
	// UnreadableTimeout is how long a group's record must be stored without being decodable before
	// another dispatcher than its owner replaces it. The owner reads its record several times in
	// that period.
	UnreadableTimeout time.Duration
	// LoadingProtection is how long an adapter stays protected after its load was ordered,
	// while no report contains it.
	LoadingProtection time.Duration
	// Busy reports whether this process has a run in progress on any of the endpoints. A
	// run counts from before its call of Check.
	Busy func([]ggscore.EndpointID) bool
}

// DefaultOptions returns the options for a domain with few endpoints.
func DefaultOptions(d ggscore.Domain) Options {
	return Options{
		Domain:            d,
		Groups:            1,
		Limits:            ggsowner.Limits{TTL: 9 * time.Second, Margin: 2 * time.Second},
		RenewInterval:     3 * time.Second,
		PollInterval:      2 * time.Second,
		CallTimeout:       2 * time.Second,
		AbsenceTimeout:    time.Minute,
		UnreadableTimeout: time.Minute,
		LoadingProtection: 30 * time.Second,
		Busy:              func([]ggscore.EndpointID) bool { return false },
	}
}
