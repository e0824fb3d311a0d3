package ggsfakeengine

import (
	"context"
	"time"

	ggscore "greengageslip/core"
)

// A Fetcher fetches an adapter's weights. Fetch returns when the weights have arrived.
type Fetcher interface {
	Fetch(ctx context.Context, a ggscore.AdapterRef) error
}

// Options configure an engine.
type Options struct {
	ID ggscore.EndpointID
	// Now is the clock of reports, freezes and BusySlots.
	Now func() time.Time
	// Slots is the maximum number of running requests.
	Slots int
	// AdapterSlots is the maximum number of adapters, loading ones included.
	AdapterSlots int
	// TokenInterval is the time between tokens in an empty batch. BatchSlowdown is the
	// fraction by which a full batch is slower.
	TokenInterval time.Duration
	BatchSlowdown float64
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// DefaultTokens is the length of an answer in tokens if max_tokens isn't given.
	DefaultTokens int
	// Weights fetches the weights of adapters; with nil they are loaded at once.
	Weights Fetcher
	// GuardsRunning refuses to unload an adapter that is in use. Without it an unload
	// aborts the requests that use the adapter.
	GuardsRunning bool
	// ChecksFence refuses orders with a fencing token below the greatest one seen.
	ChecksFence bool
}

// Faults are the failures that an engine simulates. The zero value means none.
type Faults struct {
	// LoadFails is the number of further loads that fail after their load time.
	LoadFails int
	// LoseOrderAnswers is the number of further orders that take effect although their
	// connection is closed without an answer.
	LoseOrderAnswers int
	// CutStreamAfter is the number of tokens after which the connection of each streamed
	// answer is closed; zero means never.
	CutStreamAfter int
	// Refuse is the number of further requests that are answered with 503 and outcome
	// notRun.
	Refuse int
	// ReportLag is the age of the state in reports.
	ReportLag time.Duration
}

// Stats are the counters of an engine since its creation.
type Stats struct {
	Started        uint64
	Done           uint64
	Cancelled      uint64
	BrokenByUnload uint64
	NotLoaded      uint64
	Loads          uint64
	LoadFailures   uint64
	Unloads        uint64
	Fenced         uint64
	Tokens         uint64
	// Waiting is the current number of requests that wait for a slot.
	Waiting int
	// BusySlots is the time for which slots were in use, summed over the slots.
	BusySlots time.Duration
}

// DefaultOptions returns the options of an engine as the project's specification describes
// it, on the wall clock.
func DefaultOptions() Options {
	return Options{
		Now:           time.Now, //nolint:forbidigo // default clock of a test double
		Slots:         8,
		AdapterSlots:  8,
		TokenInterval: 20 * time.Millisecond,
		BatchSlowdown: 0.3,
		FirstToken:    50 * time.Millisecond,
		DefaultTokens: 16,
	}
}
