// Package ggsrpc carries net/rpc calls between the system's own processes.
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
// Call is bounded by its context alone; CallLong suits answers whose length grows with
// data. A call's failure is a *DialError where the call cannot have reached the
// other process, a *BrokenError where that is not known, and a *RemoteError
// where the other process answered with an error.
//
// # Locks
//
// Pool.mu and Server.mu are leaves: nothing else is locked under them.
package ggsrpc
