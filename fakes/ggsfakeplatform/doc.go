// Package ggsfakeplatform is a test double of the platform. It serves a key-value store with
// compare-and-swap, leases and watches, and a list of VMs that lags behind its changes.
//
// # Usage
//
//	p := ggsfakeplatform.New(ggsfakeplatform.DefaultOptions())
//	srv := httptest.NewServer(p.Handler())
//	p.SetVMs(vms)
//	p.SetFaults(ggsfakeplatform.Faults{Outage: true})
//
// The HTTP API is JSON with camel-case keys. Values are encoded as base64:
//
//	GET    /v1/kv?key=K                       an entry; revision 0 if missing
//	PUT    /v1/kv {key,value,prev,lease}      {revision}; 409 with the current revision
//	DELETE /v1/kv {key,prev}                  {revision}
//	GET    /v1/list?prefix=P                  {entries,revision}
//	GET    /v1/watch?prefix=P&after=R&wait=D  {entries,revision}
//	POST   /v1/leases {ttl}                   {lease}
//	PUT    /v1/leases/ID                      renews the lease; 410 once it has expired
//	DELETE /v1/leases/ID                      revokes the lease
//	GET    /v1/vms, PUT /v1/vms {vms}         the list of VMs
//	POST   /v1/faults                         replaces the faults
//	GET    /v1/calls                          counters of calls
//
// The package starts no goroutines. Leases expire and delayed writes are applied, by the
// clock of Options, when the next call arrives or a waiting watch polls the store. PUT
// /v1/vms, POST /v1/faults and GET /v1/calls are subject to no rate limit and no fault.
//
// Locks: Platform.mu guards all mutable state and is never held during I/O.
package ggsfakeplatform
