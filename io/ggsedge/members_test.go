package ggsedge

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsfencing"
)

// A refusingStore refuses each transaction.
type refusingStore struct {
	Store
	txns atomic.Int32
}

func (s *refusingStore) Snapshot(context.Context, ggscore.Key, bool) ([]ggscore.Entry, ggscore.StorePosition, error) {
	return nil, position(5), nil
}

func (s *refusingStore) Txn(context.Context, ggscore.Txn) (ggscore.StorePosition, error) {
	s.txns.Add(1)
	return ggscore.StorePosition{}, &ggscore.TxnConflictError{}
}

// Guards against a VM that repeats a refused store heartbeat without a pause. Nine VMs made
// 430 calls a second.
func TestRefusedHeartbeatsArePaced(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e, s := listEdge(), &refusingStore{}
	e.Store = s
	e.setMembers(context.Background(), nil, position(5))
	const (
		length = time.Second
		// least is the shortest pause after a failed call of the store.
		least = 150 * time.Millisecond
		most  = 2 + int32(length/least)
	)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	c.Assert(e.maintainOwnership(ctx), qt.IsNil)
	c.Assert(s.txns.Load() <= most, qt.IsTrue, qt.Commentf("%d heartbeats", s.txns.Load()))
}

// Guards against endpoints without an owner for good because another writer has replaced a record.
func TestUnreadableRecordsAreReplaced(t *testing.T) {
	t.Parallel()
	const takeover = ggsfencing.DefaultValidity + ggsfencing.DefaultMargin
	for name, value := range map[string]string{
		"no JSON":       "]",
		"another type":  `{"owner":1,"domain":[]}`,
		"deeply nested": strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
		"too large":     `{"epoch":99999999999999999999,"count":99999999999999999999}`,
		"empty":         "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			now := time.Unix(1_000, 0)
			e := listEdgeAt(func() time.Time { return now })
			es := []ggscore.Entry{
				{Key: e.memberKey("vm"), Value: []byte(value), Revision: 7},
				{Key: e.ownerKey("runner"), Value: []byte(value), Revision: 8},
			}
			e.setMembers(context.Background(), es, position(9))
			p := e.ownership.NextHeartbeat(now)
			c.Assert(p.Revision, qt.Equals, ggscore.StoreRevision(7))
			e.ownership.HeartbeatAnswered(now, p, position(10), false)
			ready := []ggscore.Instance{{ID: "runner"}}
			c.Assert(e.ownership.Claims(now.Add(takeover-1), ready), qt.HasLen, 0)
			cs := e.ownership.Claims(now.Add(takeover), ready)
			c.Assert(cs, qt.HasLen, 1)
			c.Assert(cs[0].RecordRevision, qt.Equals, ggscore.StoreRevision(8))
		})
	}
}
