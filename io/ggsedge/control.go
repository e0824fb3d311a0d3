package ggsedge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsfencing"
	"greengageslip/core/ggsgossip"
	"greengageslip/io/ggslog"
)

// claimInterval is the time between checks for endpoints without an owner. A check that finds
// none makes no call to the store.
const claimInterval = 300 * time.Millisecond

// maintainOwnership writes store heartbeats and claims until the context ends.
func (e *Edge) maintainOwnership(ctx context.Context) error {
	var count uint64
	refusals := 0
	for ctx.Err() == nil {
		sent := e.Monotonic()
		r := e.writeHeartbeat(ctx, &count)
		if r != heartbeatRefused {
			refusals = 0
		} else if refusals++; refusals > 1 && !e.pauseFailed(ctx, refusals-1) {
			return nil
		}
		if r == heartbeatAcknowledged {
			e.releaseBlocked(ctx)
		}
		e.claimUntilHeartbeat(ctx, sent, r == heartbeatAcknowledged)
	}
	return nil
}

// claimUntilHeartbeat claims endpoints without an owner until the next store heartbeat is due.
// It claims none if the last heartbeat wasn't acknowledged. With one check per heartbeat, an
// endpoint that started waited 1.2 s on average for its first order, which loads its base
// model.
func (e *Edge) claimUntilHeartbeat(ctx context.Context, sent time.Time, acked bool) {
	for {
		if acked {
			e.writeClaims(ctx)
		}
		left := e.storeHeartbeatInterval(acked) - e.since(sent)
		if !pauseOrWake(ctx, min(claimInterval, left), e.storeHeartbeatNotified) || e.storeHeartbeatDue.Swap(false) || left <= claimInterval {
			return
		}
	}
}

// storeHeartbeatInterval returns the time between this VM's store heartbeats. One that wasn't
// acknowledged is repeated at the owners' interval, since other VMs may not know this VM until
// then.
func (e *Edge) storeHeartbeatInterval(acked bool) time.Duration {
	live := len(e.livePeers())
	e.mu.Lock()
	defer e.mu.Unlock()
	return ggsgossip.HeartbeatInterval(live+1, e.ownership.OwnsAny() || !acked)
}

// recordsCurrent reports whether the records that VMs write about themselves were read in the
// store's current epoch. Writes are conditional on the revisions of these records.
func (e *Edge) recordsCurrent() bool {
	c := e.epochs.current()
	e.mu.Lock()
	defer e.mu.Unlock()
	k, ok := e.ownership.Epoch()
	return ok && k == c
}

// requestStoreHeartbeat has a store heartbeat written at once.
func (e *Edge) requestStoreHeartbeat() {
	e.storeHeartbeatDue.Store(true)
	notify(e.storeHeartbeatNotified)
}

// A heartbeatResult is the result of writing a store heartbeat.
type heartbeatResult int

const (
	// heartbeatUnsent means that the heartbeat wasn't written, or that its answer was lost.
	heartbeatUnsent heartbeatResult = iota
	heartbeatAcknowledged
	heartbeatRefused
)

// writeHeartbeat writes a store heartbeat.
func (e *Edge) writeHeartbeat(ctx context.Context, count *uint64) heartbeatResult {
	if !e.recordsCurrent() {
		return heartbeatUnsent
	}
	*count++
	e.mu.Lock()
	p := e.ownership.NextHeartbeat(e.Now())
	shapes, sheds := e.turns.LearnedState(), e.limits.RecentShedLimits(e.Now())
	e.mu.Unlock()
	v, err := json.Marshal(&memberRecord{
		Domain: string(e.options.Domain), DatagramAddr: e.options.DatagramAddr.String(), ControlAddr: e.options.ControlAddr.String(), Count: *count,
		Capacity:   e.options.Capacity,
		Isolated:   e.Paths.Isolated(),
		TurnStates: turnStateRecords(shapes),
		ShedLimits: shedLimitRecords(sheds),
	})
	if err != nil {
		_ = level.Error(e.Log).Log("event", ggslog.EventHeartbeatUnencoded, "err", err)
		return heartbeatUnsent
	}
	t := ggscore.Txn{
		Epoch:      p.Epoch,
		Conditions: []ggscore.TxnCondition{{Key: e.memberKey(e.options.VM), Revision: p.Revision}},
		Writes:     []ggscore.TxnWrite{{Key: e.memberKey(e.options.VM), Value: v}},
	}
	if p.MarkSettled {
		t.Writes = append(t.Writes, e.settledWrite(p.Epoch)...)
	}
	for _, r := range p.Records {
		t.Conditions = append(t.Conditions, ggscore.TxnCondition{Key: e.ownerKey(r.Endpoint), Revision: r.Revision})
	}
	for _, r := range p.Drop {
		t.Conditions = append(t.Conditions, ggscore.TxnCondition{Key: e.ownerKey(r.Endpoint), Revision: r.Revision})
		t.Deletes = append(t.Deletes, e.ownerKey(r.Endpoint), e.orderLogKey(r.Endpoint))
	}
	sent := e.Now()
	at, err := e.Store.Txn(ctx, t)
	var conflict *ggscore.TxnConflictError
	refused := errors.As(err, &conflict)
	if err != nil && !refused {
		_ = level.Info(e.Log).Log("event", ggslog.EventHeartbeatFailed, "err", err)
		return heartbeatUnsent
	}
	e.mu.Lock()
	e.ownership.HeartbeatAnswered(sent, p, at, refused)
	e.mu.Unlock()
	if refused {
		_ = level.Info(e.Log).Log("event", ggslog.EventHeartbeatRefused, "revision", p.Revision, "records", len(p.Records))
		e.rereadRecords(ctx)
		return heartbeatRefused
	}
	return heartbeatAcknowledged
}

// rereadRecords reads the records that VMs write about themselves again after a refused heartbeat.
func (e *Edge) rereadRecords(ctx context.Context) {
	es, at, err := e.Store.Snapshot(ctx, e.options.Keys.Own+"/", false)
	if err != nil {
		_ = level.Info(e.Log).Log("event", ggslog.EventRereadFailed, "err", err)
		return
	}
	e.setMembers(ctx, es, at)
	e.requestStoreHeartbeat()
}

// settledWrite returns the write that records that an epoch is settled: all rights to send
// orders from earlier epochs have expired.
func (e *Edge) settledWrite(c ggscore.StoreEpoch) []ggscore.TxnWrite {
	v, err := json.Marshal(&epochRecord{Settled: uint64(c)})
	if err != nil {
		_ = level.Error(e.Log).Log("event", ggslog.EventRecordUnencoded, "err", err)
		return nil
	}
	return []ggscore.TxnWrite{{Key: e.epochKey(), Value: v}}
}

// writeClaims writes this VM's due claims of endpoints.
func (e *Edge) writeClaims(ctx context.Context) {
	specs := map[ggscore.Service]ggscore.BackendSpec{}
	if t := e.paths.Load(); t != nil {
		specs = t.Config.Services
	}
	live := e.livePeers()
	e.mu.Lock()
	e.ownership.SetReachable(live)
	var ready []ggscore.Instance
	for _, i := range e.table.Instances("") {
		if specs[i.Service].Engine != nil && !i.Leaving && !e.Paths.Blocked(i.Addr) {
			ready = append(ready, i)
		}
	}
	cs := e.ownership.Claims(e.Now(), ready)
	e.mu.Unlock()
	for _, c := range cs {
		v, err := json.Marshal(&ownerRecord{Owner: string(e.options.VM), Epoch: uint64(c.Epoch)})
		if err != nil {
			_ = level.Error(e.Log).Log("event", ggslog.EventClaimUnencoded, "err", err)
			return
		}
		t := ggscore.Txn{
			Epoch:      c.Epoch,
			Conditions: []ggscore.TxnCondition{{Key: e.ownerKey(c.Endpoint), Revision: c.RecordRevision}},
			Writes:     []ggscore.TxnWrite{{Key: e.ownerKey(c.Endpoint), Value: v}},
		}
		if c.Owner != "" {
			t.Conditions = append(t.Conditions, ggscore.TxnCondition{Key: e.memberKey(c.Owner), Revision: c.OwnerRevision})
		}
		sent := e.Now()
		at, err := e.Store.Txn(ctx, t)
		_ = level.Info(e.Log).Log("event", ggslog.EventOrdersClaimed, "endpoint", c.Endpoint, "before", c.Owner, "revision", at.Revision, "err", err)
		if err != nil {
			continue
		}
		e.mu.Lock()
		e.ownership.ClaimAcknowledged(sent, c, at)
		e.setWorkers(ctx)
		e.mu.Unlock()
	}
}

// Release stops this VM's orders and releases its endpoints to other VMs.
func (e *Edge) Release(ctx context.Context) {
	e.mu.Lock()
	e.ownership.Stop()
	p := e.ownership.NextHeartbeat(e.Now())
	e.mu.Unlock()
	e.writeReleases(ctx, p, p.Records)
}

// releaseBlocked releases the endpoints of this VM to which it has no path. Orders don't go through
// tunnels, because an endpoint would take them for orders of another VM.
func (e *Edge) releaseBlocked(ctx context.Context) {
	e.mu.Lock()
	p := e.ownership.NextHeartbeat(e.Now())
	var rs []ggsfencing.Record
	for _, r := range p.Records {
		if i, ok := e.table.Instance(r.Endpoint); ok && e.Paths.Blocked(i.Addr) {
			e.ownership.Revoke(r.Endpoint)
			rs = append(rs, r)
		}
	}
	e.mu.Unlock()
	if len(rs) > 0 {
		e.writeReleases(ctx, p, rs)
		e.rereadRecords(ctx)
	}
}

// writeReleases writes records of this VM as released. If the write fails, the next acknowledged
// heartbeat renews the rights, unless the VM stops.
func (e *Edge) writeReleases(ctx context.Context, p ggsfencing.HeartbeatPlan, rs []ggsfencing.Record) {
	if len(rs) == 0 {
		return
	}
	v, err := json.Marshal(&ownerRecord{Owner: string(e.options.VM), Released: true, Epoch: uint64(p.Epoch)})
	if err != nil {
		_ = level.Error(e.Log).Log("event", ggslog.EventReleaseUnencoded, "err", err)
		return
	}
	t := ggscore.Txn{
		Epoch:      p.Epoch,
		Conditions: []ggscore.TxnCondition{{Key: e.memberKey(e.options.VM), Revision: p.Revision}},
	}
	for _, r := range rs {
		t.Conditions = append(t.Conditions, ggscore.TxnCondition{Key: e.ownerKey(r.Endpoint), Revision: r.Revision})
		t.Writes = append(t.Writes, ggscore.TxnWrite{Key: e.ownerKey(r.Endpoint), Value: v})
	}
	_, err = e.Store.Txn(ctx, t)
	_ = level.Info(e.Log).Log("event", ggslog.EventOrdersReleased, "endpoints", len(rs), "isolated", e.Paths.Isolated(), "err", err)
}
