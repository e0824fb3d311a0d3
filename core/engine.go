package ggscore

import (
	"context"
	"net/netip"
)

// A ChunkSink receives the chunks of an answer in order. An error ends the call.
type ChunkSink func(Chunk) error

// An EngineCaller runs a request on a runner. Errors are *CallError, which reports whether a byte
// of the request may have reached the endpoint.
type EngineCaller interface {
	Run(ctx context.Context, addr netip.AddrPort, r *Request, sink ChunkSink) error
}

// A PlainCaller calls a plain service. Errors are *CallError.
type PlainCaller interface {
	Call(ctx context.Context, addr netip.AddrPort, r *Request, sink ChunkSink) error
}

// An AdapterLoader orders a runner to load or unload an adapter. The error for an order that
// may have taken effect is an *AmbiguousOrderError. An outdated fencing token gives a
// *FencedError.
type AdapterLoader interface {
	Load(ctx context.Context, addr netip.AddrPort, a AdapterRef, f FencingToken) error
	Unload(ctx context.Context, addr netip.AddrPort, a AdapterRef, f FencingToken) error
}

// A RunnerReporter requests a runner's report.
type RunnerReporter interface {
	Report(ctx context.Context, addr netip.AddrPort) (RunnerReport, error)
}
