// Package ggsfakeplatform stands in for the platform: a key-value service with
// compare-and-swap, leases and watches, and the lagging list of VMs.
//
// # Usage
//
//	p := ggsfakeplatform.New(ggsfakeplatform.DefaultOptions())
//	srv := httptest.NewServer(p.Handler())
//	p.SetVMs(vms)
//	p.SetFaults(ggsfakeplatform.Faults{Outage: true})
//
// The service speaks JSON with camel-case keys; values are base64:
//
//	GET    /v1/kv?key=K                       an entry; revision 0 if missing
//	PUT    /v1/kv {key,value,prev,lease}      {revision}; 409 with the revision
//	DELETE /v1/kv {key,prev}                  {revision}
//	GET    /v1/list?prefix=P                  {entries,revision}
//	GET    /v1/watch?prefix=P&after=R&wait=D  {entries,revision}
//	POST   /v1/leases {ttl}                   {lease}
//	PUT    /v1/leases/ID                      renews; 410 once it has lapsed
//	DELETE /v1/leases/ID                      revokes
//	GET    /v1/vms, PUT /v1/vms {vms}         the list of VMs
//	POST   /v1/faults                         replaces the faults
//	GET    /v1/calls                          counts of calls
//
// A lapse and a delayed write happen when the next call comes in or a waiting
// watch looks, on the clock of Options: the package has no goroutine of its
// own. Calls to vms (PUT), faults and calls aren't limited and know no fault.
//
// Locks: Platform.mu guards everything and is never held during I/O.
package ggsfakeplatform
