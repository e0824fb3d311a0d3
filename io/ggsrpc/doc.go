// Package ggsrpc makes and serves net/rpc calls between the processes of this system.
//
// # Usage
//
//	s := ggsrpc.NewServer()
//	err := s.Register("Config", service)
//	err = s.Serve(ctx, listener) // until ctx ends
//
//	p := ggsrpc.NewPool(ggsrpc.PoolOptions{})
//	defer p.Close()
//	err = p.Call(ctx, addr, "Config.Head", &args, &reply)
//
// Call is bounded only by its context. CallLong is for answers whose length grows with the amount
// of data, and is bounded by the time without received bytes.
//
// A failed call returns a *DialError if the call can't have reached the other process, a
// *BrokenError if that is unknown, and a *RemoteError if the other process answered with an error.
//
// # Locks
//
// Pool.mu, Server.mu and serverCodec.mu are leaf locks: no other lock is taken while one of them is held.
package ggsrpc
