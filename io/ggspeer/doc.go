// Package ggspeer carries what VMs tell each other of endpoints: datagrams with their
// requests in flight, what their endpoints hold and what was asked for.
//
// # Usage
//
//	c, err := ggspeer.Listen(ctx, addr)
//	go c.Run(ctx, ggspeer.Handler{Heartbeat: …, Summary: …, Notice: …})
//	err = c.Send(h, addrs)
//	err = c.SendSummary(d, addrs)
//	err = c.SendNotice(n, addrs)
//
// # Datagram
//
// A datagram is a byte that tells its kind, and a CBOR array. A heartbeat or summary is
// whole by itself, so one that is lost is made up for by the next; one that can't be
// read is counted and dropped.
package ggspeer
