// Package ggsfakeplain is a test double of a plain service whose calls are not idempotent,
// such as a ledger.
//
// # Usage
//
//	s := ggsfakeplain.New(ggsfakeplain.Options{ID: "ledger-1"})
//	srv := httptest.NewServer(s.Handler())
//	n := s.Runs()[ggsfakeplain.Run{Key: "release-7", Request: "q1"}]
//
// The HTTP API:
//
//	POST any path    runs and answers {"endpoint","path","key","request","count"}
//	GET  /v1/runs    number of runs by idempotency key and request ID
//	POST /v1/faults  {loseAnswers,slow,refuse}
//
// Count is the number of runs of the idempotency key so far. The service doesn't deduplicate
// calls, so that tests can detect a second run.
//
// Locks: Service.mu guards all mutable state and is never held while waiting.
package ggsfakeplain
