// Package ggsthrottle makes the VMs together observe the rate limits that endpoints announce
// in their answers.
//
// A limit applies to the sum of all VMs and is observed without a coordinator. Each VM computes
// its share locally: for each limited endpoint, rendezvous hashing selects a subset of the live
// VMs, so small that each selected VM may send at least one request per second. A selected VM
// limits itself to its share with a token bucket. The other VMs learn from heartbeats whether
// the limit still applies. If no answer of an endpoint arrives for a while, other VMs are
// selected, since the selected ones may have no callers.
//
// Shed-limited endpoints, which fail when they shed many requests, announce no limit. All endpoints of
// a service are shed-limited or none is: what one answer says holds for the service, and heartbeats and
// the VMs' records carry it to VMs that had no answer yet. Package ggspermit keeps the requests in flight at
// such endpoints within their slots.
//
// # Usage
//
//	t := ggsthrottle.NewTable(vm)
//	t.SetVMs(live)                             // the live VMs, this one included
//	changed := t.Observe(now, id, limit, asOf) // an answer arrived
//	t.ObservePeer(now, limits)                 // limits from a peer's heartbeat
//	t.ObserveShedLimit(service, refusals, asOf)
//	t.ObservePeerShedLimits(now, shedLimits)   // shed limits from a peer's heartbeat
//	t.RestoreShedLimits(now, shedLimits)       // shed limits from a VM's record
//	limits := t.RecentLimits(now)              // limits for the next heartbeat
//	shedLimits := t.RecentShedLimits(now)
//	ok := t.Allows(now, id)                    // whether to choose the endpoint
//	ok := t.Take(now, id)                      // just before sending
//	wait := t.Wait(now, id)                    // for Retry-After
//	t.Remove(id)                               // the endpoint was removed
//
// A Table isn't safe for concurrent use. It has no clock and no goroutines: the caller passes
// the time.
package ggsthrottle
