// Package ggsfakeplain stands in for a plain service: a ledger whose calls may
// not be repeated.
//
// # Usage
//
//	s := ggsfakeplain.New(ggsfakeplain.Options{ID: "ledger-1"})
//	srv := httptest.NewServer(s.Handler())
//	n := s.Runs()[ggsfakeplain.Run{Key: "release-7", Request: "q1"}]
//
// The service:
//
//	POST any path    runs and answers {"endpoint","path","key","request","count"}
//	GET  /v1/runs    how often each idempotency key and request id ran
//	POST /v1/faults  {loseAnswers,slow,refuse}
//
// Count is the number of runs of the key so far: the service itself repeats
// what it is told to repeat, so that a second run shows.
//
// Locks: Service.mu guards everything and is never held while waiting.
package ggsfakeplain
