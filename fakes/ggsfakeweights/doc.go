// Package ggsfakeweights is a test double of a rate-limited weight store.
//
// # Usage
//
//	s := ggsfakeweights.New(ggsfakeweights.DefaultOptions())
//	err := s.Fetch(ctx, ref) // returns when the load is complete
//
//	srv := httptest.NewServer(s.Handler())
//	c := ggsfakeweights.NewClient(addr) // the same over HTTP
//
// The default limits are from the project's specification. Loads start at a rate of 4 per
// second with a burst of 3. A load takes 250 ms while at most 24 loads of all runners are in
// transit, and proportionally longer beyond. A load is in transit from the request on,
// before the rate limit admits it, so that too many requests at once slow all loads down.
// Faults.Speed multiplies the rate limit and divides the load time.
//
// The HTTP API:
//
//	GET  /v1/weights?adapter=A  answers when the load is done; 500 if it fails
//	GET  /v1/loads              counters
//	POST /v1/faults             {speed,failureRate,failNext}
//
// Locks: Store.mu guards all mutable state and is never held while waiting.
package ggsfakeweights
