package ggscore

import (
	"context"
	"net/netip"
)

// A ChunkSink takes the pieces of an answer in order. An error ends the call.
type ChunkSink func(Chunk) error

// An EngineCaller runs a request on a runner. Failures are *CallError: it says
// whether a byte may have reached the endpoint.
type EngineCaller interface {
	Run(ctx context.Context, addr netip.AddrPort, r *Request, sink ChunkSink) error
}

// A PlainCaller makes a call on a plain service. Failures are *CallError.
type PlainCaller interface {
	Call(ctx context.Context, addr netip.AddrPort, r *Request, sink ChunkSink) error
}

// An AdapterOrderer orders a runner to load or unload an adapter. A failure
// that may have taken effect is an *AmbiguousOrderError; a fencing number that
// is too old gives a *FencedError.
type AdapterOrderer interface {
	Load(ctx context.Context, addr netip.AddrPort, a AdapterRef, f FenceNumber) error
	Unload(ctx context.Context, addr netip.AddrPort, a AdapterRef, f FenceNumber) error
}

// A RunnerReporter asks a runner for its report.
type RunnerReporter interface {
	Report(ctx context.Context, addr netip.AddrPort) (RunnerReport, error)
}
