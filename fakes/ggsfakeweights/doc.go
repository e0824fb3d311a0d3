// Package ggsfakeweights stands in for the rate-limited weight store.
//
// # Usage
//
//	s := ggsfakeweights.New(ggsfakeweights.DefaultOptions())
//	err := s.Fetch(ctx, ref) // takes as long as the load takes
//
//	srv := httptest.NewServer(s.Handler())
//	c := ggsfakeweights.NewClient(addr) // the same over HTTP
//
// The model is the brief's: loads start at about four a second, of which three
// may start at once; a load takes a quarter of a second while no more than 24
// are in transit over all runners, and proportionally longer beyond. A load is
// in transit from when it is asked for, so that asking for too much at once
// slows everybody. Speed multiplies both the rate and the pace of a load.
//
// The service:
//
//	GET  /v1/weights?adapter=A  answers when the load is done; 500 if it fails
//	GET  /v1/loads              counts
//	POST /v1/faults             {speed,failureRate,failNext}
//
// Locks: Store.mu guards everything and is never held while waiting.
package ggsfakeweights
