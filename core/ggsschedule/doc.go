// Package ggsschedule schedules the requests and adapters of all endpoints that one
// owner controls. It decides which requests are queued, dispatched or refused, on which
// endpoint a request runs, and which adapters are loaded or evicted.
//
// The inputs are endpoints, runner reports, requests and the ends of orders. The
// outputs are orders to dispatch, load, unload or refuse.
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
// The caller executes the orders and reports the end of each dispatch, load and unload
// exactly once. The package has no clock, no goroutine and no lock: the caller must
// serialize the calls, and now must never decrease. The same calls with the same seed
// return the same orders.
//
// The returned orders share one buffer that the next call overwrites. The caller must
// copy or execute the orders before the next call.
//
// # Time of reports
//
// RunnerReport.At must be on the caller's clock and no later than the moment at which
// the runner took the snapshot. The moment at which the caller requested the report
// satisfies this. Options.ReportLag states how much older than At the contents may be.
// Loads and evictions are ordered only after a report that was taken since the
// ownership began.
//
// # Adapters on runners
//
// A replica is an adapter on a runner. It is reserved, loading, resident, unloading,
// uncertain or gone. Requests are dispatched only to resident replicas. Only resident
// replicas that are idle and unprotected are evicted.
//
// An order that ends with EndUnknown makes its replica uncertain. An uncertain replica
// keeps its adapter slot and receives no requests until a report that is newer than the
// order shows its state. Runs in a report beyond this owner's own, and runs that ended
// with EndUnknown, pin the replica until a newer report shows it idle.
//
// Requests without an adapter run on any endpoint of their service. In ModeResidentOnly
// they run only on endpoints that protect the zero AdapterRef.
package ggsschedule
