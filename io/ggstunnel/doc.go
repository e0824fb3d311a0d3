// Package ggstunnel opens connections to endpoints through other VMs while this VM's own network
// path to the endpoints is broken, and opens such connections for other VMs.
//
// A tunnel is a TCP connection to a peer that the peer joins to one to the endpoint, on an HTTP
// CONNECT request. The peer forwards bytes in both directions and reads none of them: the VM that
// opened the tunnel is the endpoint's client, decides on retries, and identifies answers.
//
// # Usage
//
//	d := ggstunnel.NewDialer(ggstunnel.Options{Direct: direct, Peers: peers, Table: table, Now: now, Log: log})
//	go d.Run(ctx)                              // detects broken paths and probes them
//	c, err := d.Dial(ctx, addr)                // a ggscore.Dialer
//
//	s := ggstunnel.NewServer(ggstunnel.ServerOptions{Dialer: direct, Paths: d, MaxTunnels: n})
//	server := &http.Server{Handler: s}
//	s.Drain()                                  // before a stop: no more tunnels, no more requests through the open ones
//	s.Wait(ctx)                                // until no tunnel has a request in progress
//
// # Answers
//
// The peer answers CONNECT with one of:
//
//	200  the tunnel is open
//	403  the address isn't that of an endpoint
//	502  the peer failed to connect to the endpoint
//	503  the peer opens no tunnels at present: it is stopping, at its limit, or has no path to
//	     the endpoint itself
//
// # Frames
//
// An answer may end with its connection, so the VM must know whether the endpoint or the peer ended
// it. If the request carries "X-Tunnel-Framing: length", and the answer repeats it, the peer sends
// the endpoint's bytes in frames: a length of two bytes, big-endian, and that many bytes. A length
// of zero says that the endpoint has closed its connection. Any other end truncates an answer that
// has no length of its own. The VM's bytes aren't framed.
//
// To a VM whose request carries "X-Tunnel-Notices: stop", a peer that begins to stop sends the length 65,535, which no bytes
// follow. The VM sends no further request through the tunnel.
//
// # Locks
//
// Dialer.mu and Server.mu are leaf locks: no other lock is taken and no blocking I/O is done while
// one of them is held. frameWriter.mu is held while a frame is written.
package ggstunnel
