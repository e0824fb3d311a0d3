package ggsfakeengine

import (
	"context"
	"time"

	ggscore "greengageslip/core"
)

// A Fetcher gets an adapter's weights and takes as long as that takes.
type Fetcher interface {
	Fetch(ctx context.Context, a ggscore.AdapterRef) error
}

// Options set an engine up.
type Options struct {
	ID ggscore.EndpointID
	// Now is the clock of reports and counts.
	Now func() time.Time
	// Slots is the size of the batch.
	Slots int
	// AdapterSlots is the number of adapters held at once, loading ones
	// included.
	AdapterSlots int
	// TokenInterval is the time between tokens in an empty batch, and
	// BatchSlowdown the part by which a full one is slower.
	TokenInterval time.Duration
	BatchSlowdown float64
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// DefaultTokens is the length of an answer where max_tokens isn't given.
	DefaultTokens int
	// Weights is where adapters come from; nil loads them at once.
	Weights Fetcher
	// GuardsRunning refuses to unload an adapter that is in use. Otherwise
	// that breaks the requests that use it.
	GuardsRunning bool
	// ChecksFence refuses orders with an old fencing number.
	ChecksFence bool
}

// Faults are the switches of an engine. The zero value means none.
type Faults struct {
	// LoadFails is the number of loads that fail after their time.
	LoadFails int
	// LoseOrderAnswers is the number of orders that take effect while the
	// connection is closed in place of an answer.
	LoseOrderAnswers int
	// CutStreamAfter closes the connection of each streamed answer after so
	// many tokens.
	CutStreamAfter int
	// Refuse is the number of requests that are answered 503 as not run.
	Refuse int
	// ReportLag is how old reports are.
	ReportLag time.Duration
}

// Stats count what an engine did.
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
	// Waiting is the number of requests that wait for a slot now.
	Waiting int
	// BusySlots is the time that slots were in use, summed over slots.
	BusySlots time.Duration
}

// DefaultOptions returns an engine of the brief's kind on the wall clock.
func DefaultOptions() Options {
	return Options{
		Now:           time.Now, //nolint:forbidigo // a stand-in's default clock
		Slots:         8,
		AdapterSlots:  8,
		TokenInterval: 20 * time.Millisecond,
		BatchSlowdown: 0.3,
		FirstToken:    50 * time.Millisecond,
		DefaultTokens: 16,
	}
}
