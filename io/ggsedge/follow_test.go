package ggsedge

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/io/ggspeer"
)

func TestOperatorsLagCountsFromTheFirstAnnouncement(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := listEdge()
	now := e.Now()
	e.Now = func() time.Time { return now }
	e.peers["peer"] = &member{}
	announce := func(at ggscore.StoreRevision) {
		e.peers["peer"].sequence = 0
		e.heard(ggspeer.Beat{VM: "peer", Sequence: 1, OperatedAt: at})
	}
	e.readOperators(10, nil)
	announce(10)
	now = now.Add(time.Second)
	c.Assert(e.operatorsLag(), qt.Equals, time.Duration(0))
	announce(12)
	now = now.Add(time.Second)
	announce(14)
	now = now.Add(time.Second)
	e.readOperators(12, nil)
	c.Assert(e.operatorsLag(), qt.Equals, 2*time.Second)
	e.readOperators(14, nil)
	c.Assert(e.operatorsLag(), qt.Equals, time.Duration(0))
}
