// Package ggsschedule decides for the endpoints of one owner: who waits, who
// runs where, which adapter is loaded or evicted, and who is refused.
//
// # Usage
//
//	s := ggsschedule.New(ggsschedule.Options{Seed: 1})
//	s.SetPolicy(now, document.Policy)
//	s.SetMarkets(weights)
//	s.SetLoadShare(now, share)
//	s.SetEndpoint(now, endpoint, ggscore.ModeFull)
//	orders := s.Report(now, report)
//	orders = s.Submit(now, request)
//	orders = s.RequestEnded(now, request.ID, ggscore.EndDone)
//	orders = s.Tick(now) // no later than s.NextTick(), unless that is zero
//
// The caller carries out the orders and reports the end of each dispatch, load
// and unload exactly once. The package holds no clock, no goroutine and no
// lock: calls must be serialized, and now must never go back. The same calls
// with the same seed give the same orders.
//
// The returned orders share one buffer, which the next call overwrites: copy
// them, or carry them out, before calling again.
//
// # Time of reports
//
// RunnerReport.At must be on the caller's clock, and no later than the moment
// at which the runner looked at itself; the moment at which the caller asked is
// right. Options.ReportLag says by how much the contents may be older still.
// Loads and evictions are ordered only after a report that was made since the
// ownership began.
//
// # Adapters on runners
//
// An adapter on a runner is loading, resident, unloading, uncertain or gone.
// Only a resident one is dispatched to, and only an idle, unprotected, resident
// one is evicted. An order whose end is EndUnknown makes it uncertain: it keeps
// its slot, and isn't dispatched to, until a report that is newer than the order
// settles it. Runs that a report shows beyond ours, and runs that ended with
// EndUnknown, keep the adapter pinned until a newer report shows it idle.
//
// Requests without an adapter run on any endpoint of their service. In
// ModeResidentOnly they do so only where the zero AdapterRef is protected.
package ggsschedule
