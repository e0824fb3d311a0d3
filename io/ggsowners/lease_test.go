package ggsowners

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
)

// A VM loads on borrowed units after its lease has ended, since it was told a
// later end than the one by which the lease is judged, or forgets its units at
// each late renewal, since it was told of no lease.
func TestLeaseIsToldAsItIsJudged(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	granted := b.clock()
	o := b.dispatcher("vm-a", lifeA)
	end := granted.Add(o.opts.Limits.TTL - o.opts.Limits.Margin)
	id, expires := o.Lease()
	b.c.Assert(id, qt.Not(qt.Equals), ggscore.LeaseID(0))
	b.c.Assert(expires, qt.Equals, end)
	b.pass(end.Sub(granted))
	late, expires := o.Lease()
	b.c.Assert(late, qt.Equals, id)
	b.c.Assert(expires, qt.Equals, time.Time{})
	b.pass(time.Minute)
	b.c.Assert(o.Renew(b.ctx), qt.IsNotNil)
	lost, _ := o.Lease()
	b.c.Assert(lost, qt.Equals, ggscore.LeaseID(0))
}
