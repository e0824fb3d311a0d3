// Package ggsrelay decides which heartbeats and summaries the VMs of a large deployment
// exchange, and through which relays.
//
// Each VM sends its heartbeats to the relays of its failure domain. The relays are the VMs
// of the domain with the greatest capacity. A relay adds up the heartbeats of its domain,
// exchanges summaries with one relay of each other domain, and sends the sum over all
// domains to the VMs of its own domain. A VM therefore receives as many datagrams in a large
// deployment as in a small one, and only the load of relays grows with the size of their
// domain. Each domain has two relays that work independently of each other, so that the
// loss of one relay costs only its own summaries.
//
// # Usage
//
//	n := ggsrelay.NewNode(ggsrelay.Options{Self: self, Started: started})
//	n.SetMembers(members)
//	if n.UsesRelays() { … }                   // else heartbeats go to each VM
//	h.CountingRelay, to = n.Report(now, h)    // send the heartbeat to those VMs
//	n.Heartbeat(now, h)                       // a VM's heartbeat arrived
//	v, ok := n.Summary(now, s)                // a summary arrived; apply v
//	ms, v, ok := n.Tick(now, ownerDomain)     // send each m.Summary to m.To; apply v
//
// # Increments and states
//
// Counts of ended requests, demand and samples are increments and are added up. A heartbeat
// names the one relay that forwards its increments (its counting relay), so that they are
// counted once. The relays of a domain alternate as counting relays. All other parts of a
// heartbeat are states, of which the newest replaces the older ones.
//
// The package has no clock, goroutine or lock. Callers pass the time and serialize access.
package ggsrelay
