// Package ggspeer sends and receives the UDP datagrams by which VMs share the state of their
// requests and endpoints. Heartbeats and summaries carry requests in flight, the adapters that
// endpoints hold, and demand for adapters. Notices announce prompt turns. Origins say at which software
// version streams began, and part reports which parts of prompts crashed endpoints. Asks, decisions, releases
// and renewals are those of permits (see package ggspermit).
//
// # Usage
//
//	u, err := ggspeer.Network{}.ListenPacket(ctx, addr)
//	c := ggspeer.New(u)
//	go c.Run(ctx, ggspeer.Handler{Heartbeat: …, Summary: …, Notice: …, Origins: …, Crashes: …})
//	err = c.Send(h, addrs)
//	err = c.SendSummary(d, addrs)
//	err = c.SendNotice(n, addrs)
//	err = c.SendOrigins(origins, addrs)
//	err = c.SendCrashes(report, addrs)
//	err = c.SendPermitAsk(ask, addr)
//	err = c.SendPermitDecision(decision, addr)
//	err = c.SendPermitRelease(release, addr)
//	err = c.SendPermitRenewal(renewal, addr)
//
// # Datagram
//
// A datagram consists of one byte for its kind and a CBOR array. Each heartbeat and summary is
// complete by itself, so the next one makes up for a lost one. A datagram that can't be decoded
// is counted and dropped.
//
// The package has no locks.
package ggspeer
