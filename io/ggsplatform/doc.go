// Package ggsplatform is the client of the platform's key-value service and
// list of VMs, over HTTP and JSON.
//
// # Usage
//
//	c := ggsplatform.NewClient(netip.MustParseAddrPort("127.0.0.1:7100"))
//	defer c.Close()
//	s := ggsplatform.NewMetered(c, expvar.NewMap("platform"))
//	rev, err := s.Put(ctx, "section/market/cr", text, prev, 0)
//
// A call is made once: the client retries nothing, since only its caller knows
// whether a repeat is safe. Failures are told apart by type:
//
//   - *ggscore.StoreAwayError: a read failed, or a write can't have had any
//     effect (no byte of it was sent, or the service answered 503);
//   - *ggscore.StoreBusyError: refused for its rate, no effect;
//   - *ggscore.ConflictError: the key's revision was another, no effect;
//   - *ggscore.LeaseLapsedError: the lease isn't known (any more), no effect;
//   - *RefusedError: the service refused the call as wrong, no effect;
//   - *ggscore.AmbiguousWriteError: a write whose answer was lost. For calls
//     on leases its key is empty.
//
// Metered, Limited and ReadOnly wrap any store and are stores themselves.
package ggsplatform
