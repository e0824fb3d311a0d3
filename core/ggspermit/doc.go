// Package ggspermit keeps the number of requests in flight at a shed-limited endpoint, summed over all
// VMs, within its slots.
//
// A shed-limited endpoint fails when it has to refuse many requests. For each such endpoint, one of the
// live VMs is the issuer of permits (see IssuerOf): a counting semaphore with as many permits as the endpoint
// has slots. A VM asks for a permit before it sends a request, and releases it when the request has ended.
//
// Permits are leases. The holder renews them while its request is in flight, and a permit that isn't
// renewed expires, sooner if its VM is lost, so that a failed VM leaves no slot unused for long. A renewal lists all
// requests of a VM at an endpoint, which makes up for lost releases. Renewals go to whichever VM is the issuer
// then, which adopts requests that it has issued no permit for. A new issuer therefore soon knows of all requests
// in flight. Until then it counts those that VMs report in heartbeats.
//
// VMs that can't reach each other have an issuer on each side. When VMs are lost, an issuer lowers its limit
// to the share of those that are left, in case they still send. It also lowers the limit when an endpoint
// refuses a request that has a permit, because others occupy slots then. The limit rises again with time.
//
// # Usage
//
// At the issuer:
//
//	s := ggspermit.NewIssuer(counter)
//	s.SetInstances(instances)         // the list of endpoints was read
//	s.SetLive(now, vms)               // the live VMs, this one included
//	decisions := s.Ask(now, ask)      // send them to the VMs in their IDs
//	decisions = s.Release(now, release)
//	decisions = s.Renew(now, renewal)
//	decisions = s.Tick(now)           // several times a second
//
// At the VM that sends requests:
//
//	h := ggspermit.NewHolder(vm, seed)
//	id := h.Begin(endpoint)           // a request is about to be sent
//	h.Asked(now, id, issuer)          // an ask is being sent
//	ok := h.Granted(now, id)          // the decision arrived
//	h.Sent(now, id)                   // the request is being sent
//	issuer := h.End(now, id)          // the request has ended; send a release to the issuer
//	renewals := h.Renewals(now, issuerOf)
//
// Issuer and Holder aren't safe for concurrent use. They have no clock and no goroutines: the caller
// passes the time.
package ggspermit
