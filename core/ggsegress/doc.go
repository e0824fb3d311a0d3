// Package ggsegress decides how a VM opens connections to endpoints: directly, or through a
// tunnel of a peer while its own network path to the endpoint is broken.
//
// A connection that can't be opened has two possible causes, the endpoint or the path to it. Only a
// second path distinguishes them: if a peer connects to the endpoint, the path is broken, and if
// peers don't either, the endpoint is down. Inputs are the results of direct dials and of peers'
// dials, and the times at which connections received bytes. Outputs are the order in which routes to
// an endpoint are tried, the endpoints to probe, and whether the VM is isolated, which means that it
// has no path to any endpoint.
//
// # Usage
//
//	t := ggsegress.NewTable(ggsegress.Options{Domain: domain, Regions: regions, Seed: seed})
//	t.SetPeers(peers)
//	t.SetEndpoints(addrs)                   // forgets all others
//	p := t.Plan(now, addr)                  // the routes to try, in order
//	t.DirectConnected(now, addr)            // results of the routes that were tried
//	t.DirectFailed(now, addr)
//	t.PeerConnected(now, addr, vm)
//	t.PeerFailed(now, vm)                   // it didn't reach the endpoint either
//	t.PeerUnavailable(now, vm)
//	t.AllFailed(now, addr)                  // neither this VM nor the peers connected
//	t.Received(at)                          // bytes arrived on a direct connection
//	blocked := t.Blocked(addr)              // only tunnels lead to the endpoint
//	isolated := t.Isolated()
//	addr, ok := t.NextCheck()               // dial it by all routes, and report the results
//	addr, ok := t.NextProbe(now)            // dial it directly, and report the result
//
// The number of tunnels that a VM opens is that of its own connections to endpoints. A VM never
// opens a tunnel for a peer through another peer, so no request takes more than one extra hop.
//
// A Table isn't safe for concurrent use. It has no clock and no goroutines: the caller passes
// the time.
package ggsegress
