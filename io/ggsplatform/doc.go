// Package ggsplatform is a client of the platform's key-value service and list of VMs, with
// JSON over HTTP.
//
// # Usage
//
//	c := ggsplatform.NewClient(netip.MustParseAddrPort("127.0.0.1:7100"))
//	defer c.Close()
//	s := ggsplatform.NewMetered(c, expvar.NewMap("platform"))
//	rev, err := s.Put(ctx, "section/market/cr", text, prev, 0)
//
// The client sends each request once and never retries, because only the caller knows
// whether a repetition is safe. The error type shows whether a call had an effect:
//
//   - *ggscore.StoreUnavailableError: a read failed, or a write had no effect (no byte
//     of the write was sent, or the service answered with status 503);
//   - *ggscore.StoreBusyError: the call exceeded a rate limit and had no effect;
//   - *ggscore.ConflictError: the key had a different revision, no effect;
//   - *ggscore.LeaseExpiredError: the lease expired or never existed, no effect;
//   - *RefusedError: the service rejected the call as invalid, no effect;
//   - *ggscore.AmbiguousWriteError: a write whose answer was lost and which may have
//     taken effect. Its key is empty for calls on leases.
//
// Metered, Limited and ReadOnly are stores that wrap another store. The package has no
// locks of its own.
package ggsplatform
