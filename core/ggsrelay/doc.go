// Package ggsrelay decides what the VMs of a large deployment tell each other, and
// through whom.
//
// Each VM sends its heartbeat to the relays of its failure domain, the widest VMs of it.
// A relay sums up the heartbeats of its domain, exchanges summaries with one relay of each
// other domain, and sends the sum over all domains to the VMs of its own. So a VM receives
// as many datagrams in a large deployment as in a small one, and only relays receive more
// with the size of their domain. Each domain has two relays that work beside each other
// and take no notice of each other: the loss of one costs its summaries only.
//
// # Usage
//
//	n := ggsrelay.NewNode(ggsrelay.Options{Self: self, Started: started})
//	n.SetMembers(now, members)
//	if n.Large() { … }                        // else heartbeats go to each VM
//	h.Carrier, to = n.Report(now, h)          // send the heartbeat to those VMs
//	n.Heartbeat(now, h)                       // a VM's heartbeat arrived
//	v, ok := n.Summary(now, s)                // a summary arrived; v is to be applied
//	ms, v, ok := n.Tick(now, domainOf)        // send each m.Summary to m.To; apply v
//
// # What is told once
//
// Counts of ended requests, demand and samples are added up. A heartbeat names the relay
// that carries them, so that they are counted once; the relays take turns. All other parts
// are states, of which the newest counts.
//
// The package holds no clock, no goroutine and no lock.
package ggsrelay
