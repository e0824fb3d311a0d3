package ggsedge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsfencing"
	"greengageslip/core/ggsgossip"
	"greengageslip/core/ggsrelay"
	"greengageslip/io/ggslog"
)

// claimInterval is the time between looks for endpoints that nobody gives orders:
// a look that finds none makes no call.
const claimInterval = 300 * time.Millisecond

// The own records' keys below the prefix.
const (
	memberPart  = "vm"
	ordererPart = "orderer"
	epochPart   = "epoch"
)

// A memberRecord is a VM's beat in the store.
type memberRecord struct {
	Domain  string `json:"domain"`
	Beats   string `json:"beats"`
	Control string `json:"control"`
	// Capacity compares VMs by processor and link.
	Capacity uint64 `json:"capacity,omitempty"`
	// Count makes each beat a change.
	Count uint64 `json:"count"`
	// Shapes are what the VM has learnt of how endpoints read, for VMs that start.
	Shapes []shapeRecord `json:"shapes,omitempty"`
}

// A shapeRecord is a ggscore.TurnShape. Durations are in microseconds.
type shapeRecord struct {
	Service  string  `json:"service"`
	PerToken int64   `json:"perTokenNanoseconds"`
	Start    int64   `json:"startMicroseconds"`
	Quiet    int64   `json:"quietMicroseconds"`
	Waits    bool    `json:"waits"`
	Without  float64 `json:"without"`
}

func shapeRecords(hs []ggscore.TurnShape) []shapeRecord {
	var rs []shapeRecord
	for _, h := range hs {
		rs = append(rs, shapeRecord{
			Service: string(h.Service), PerToken: h.PerToken.Nanoseconds(), Start: h.Start.Microseconds(),
			Quiet: h.Quiet.Microseconds(), Waits: h.Mode.Waits, Without: h.Mode.Without,
		})
	}
	return rs
}

func (r *shapeRecord) shape() ggscore.TurnShape {
	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	return ggscore.TurnShape{
		Service: ggscore.Service(r.Service), PerToken: time.Duration(r.PerToken), Start: us(r.Start),
		Quiet: us(r.Quiet), Mode: ggscore.TurnMode{Service: ggscore.Service(r.Service), Waits: r.Waits, Without: r.Without},
	}
}

// An ordererRecord says who gives an endpoint its orders.
type ordererRecord struct {
	Owner    string `json:"owner"`
	Released bool   `json:"released"`
	// Epoch is the store's when the record was written: a copy of the store, and a write
	// that is carried out late, have another one than the store.
	Epoch uint64 `json:"epoch,omitempty"`
}

// An epochRecord says that no right to give orders goes on from before an epoch.
type epochRecord struct {
	Settled uint64 `json:"settled"`
}

// member returns the peer that a record names. One without readable addresses
// is of another version of the program and isn't called.
func (w *memberRecord) member() (*member, bool) {
	b, err := netip.ParseAddrPort(w.Beats)
	if err != nil {
		return nil, false
	}
	c, err := netip.ParseAddrPort(w.Control)
	if err != nil {
		return nil, false
	}
	return &member{beats: b, calls: c, capacity: w.Capacity}, true
}

func (e *Edge) memberKey(vm ggscore.VMID) ggscore.Key {
	return ggscore.KeyOf(string(e.options.Keys.Own), memberPart, string(vm))
}

func (e *Edge) ordererKey(id ggscore.EndpointID) ggscore.Key {
	return ggscore.KeyOf(string(e.options.Keys.Own), ordererPart, string(id))
}

func (e *Edge) epochKey() ggscore.Key {
	return ggscore.KeyOf(string(e.options.Keys.Own), epochPart)
}

// freshRecords is the time for which the own records are read fresh in a new epoch: a stale
// reading may be of the one before and name the new one.
const freshRecords = 5 * time.Second

// followMembers keeps the records of VMs and of who gives orders. A stale
// reading is enough: what is written goes by revisions.
func (e *Edge) followMembers(ctx context.Context) error {
	away, failures := false, 0
	var epoch ggscore.StoreEpoch
	fresh := e.Now().Add(freshRecords)
	read := false
	for ctx.Err() == nil {
		if c := e.epochs.current(); c != epoch {
			epoch, fresh, read = c, e.Now().Add(freshRecords), false
		}
		es, at, err := e.Store.Snapshot(ctx, e.options.Keys.Own+"/", read && (epoch == 0 || !e.Now().Before(fresh)))
		e.dependency(&away, err == nil, "members", err)
		wait := ggsgossip.RecordsInterval(len(e.livePeers()) + 1)
		if err != nil {
			failures++
			wait = max(ggsgossip.RetryPause(failures, e.started(), rand.Float64()), e.recordsRetry(wait))
		} else {
			failures = 0
			e.setMembers(ctx, es, at)
			if !read {
				e.wakeBeats()
			}
			read = true
		}
		if !pauseOr(ctx, wait, e.membersNotified) {
			return nil
		}
	}
	return nil
}

// recordsRetryShare is the part of the time between readings of the own records after which
// one that failed is repeated by a VM that serves.
const recordsRetryShare = 4

func (e *Edge) recordsRetry(interval time.Duration) time.Duration {
	if !e.started() {
		return 0
	}
	return interval / recordsRetryShare
}

func (e *Edge) setMembers(ctx context.Context, es []ggscore.Entry, at ggscore.StorePosition) {
	r, peers := e.readOwn(es)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keeper.Observe(e.Now(), at, r)
	e.noteResynced()
	if len(peers) > 0 || !at.IsZero() {
		for vm, p := range peers {
			if o := e.peers[vm]; o != nil {
				p.started, p.sequence, p.heard = o.started, o.sequence, o.heard
			} else {
				p.heard = e.Now()
			}
		}
		// A peer whose record is lost writes it again.
		for vm, p := range e.peers {
			if peers[vm] == nil && e.Now().Sub(p.heard) < peerLiveness {
				peers[vm] = p
			}
		}
		e.peers = peers
		e.node.SetMembers(e.relayMembers())
		e.retries.SetDepth(retryDepth(e.options, len(peers)+1))
	}
	if !at.IsZero() {
		e.entries[e.options.Keys.Own] = es
	}
	e.setWorkers(ctx)
}

// relayMembers returns the peers' places and capacities. Edge.mu is held.
func (e *Edge) relayMembers() []ggsrelay.Member {
	ms := make([]ggsrelay.Member, 0, len(e.peers))
	for vm, p := range e.peers {
		ms = append(ms, ggsrelay.Member{VM: vm, Domain: p.domain, Region: p.region, Capacity: p.capacity})
	}
	return ms
}

// readOwn reads the system's own records. One that can't be read is passed
// over.
func (e *Edge) readOwn(es []ggscore.Entry) (ggsfencing.Reading, map[ggscore.VMID]*member) {
	var r ggsfencing.Reading
	peers := map[ggscore.VMID]*member{}
	for _, n := range es {
		part, name, _ := strings.Cut(strings.TrimPrefix(string(n.Key), string(e.options.Keys.Own)+"/"), "/")
		var err error
		switch part {
		case ordererPart:
			var w ordererRecord
			if err = json.Unmarshal(n.Value, &w); err == nil {
				r.Records = append(r.Records, ggsfencing.Record{
					Endpoint: ggscore.EndpointID(name), Owner: ggscore.VMID(w.Owner), Released: w.Released,
					Epoch: ggscore.StoreEpoch(w.Epoch), Revision: n.Revision,
				})
			}
		case memberPart:
			var w memberRecord
			vm := ggscore.VMID(name)
			if err = json.Unmarshal(n.Value, &w); err == nil {
				r.Beats = append(r.Beats, ggsfencing.Beat{
					VM: vm, Domain: ggscore.Domain(w.Domain), Capacity: w.Capacity, Revision: n.Revision,
				})
				e.adoptShapes(w.Shapes)
			}
			if p, ok := w.member(); ok && vm != e.options.VM {
				p.domain = ggscore.Domain(w.Domain)
				p.region = e.options.Regions[p.domain]
				peers[vm] = p
			}
		case epochPart:
			var w epochRecord
			if err = json.Unmarshal(n.Value, &w); err == nil {
				r.Settled = ggscore.StoreEpoch(w.Settled)
			}
		}
		if err != nil {
			_ = level.Warn(e.Log).Log("event", ggslog.EventRecordUnreadable, "key", n.Key, "revision", n.Revision, "err", err)
		}
	}
	return r, peers
}

// adoptShapes takes what a VM had learnt of how endpoints read.
func (e *Edge) adoptShapes(rs []shapeRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range rs {
		e.turns.Adopt(e.Now(), rs[i].shape())
	}
}

// giveOrders writes beats and claims.
func (e *Edge) giveOrders(ctx context.Context) error {
	var count uint64
	refusals := 0
	for ctx.Err() == nil {
		sent := e.Steady()
		r := e.beatOnce(ctx, &count)
		if r != beatRefused {
			refusals = 0
		} else if refusals++; refusals > 1 && !e.pauseFailed(ctx, refusals-1) {
			return nil
		}
		e.claimUntilBeat(ctx, sent, r == beatAcknowledged)
	}
	return nil
}

// claimUntilBeat claims endpoints that come up until the next beat is due, unless
// the last one wasn't acknowledged. An endpoint that started waited for its first
// order, which brings its base model, until the beat: 1.2 s on average.
func (e *Edge) claimUntilBeat(ctx context.Context, sent time.Time, acked bool) {
	for {
		if acked {
			e.claimAll(ctx)
		}
		left := e.beatInterval(acked) - e.since(sent)
		if !pauseOr(ctx, min(claimInterval, left), e.kick) || e.kicked.Swap(false) || left <= claimInterval {
			return
		}
	}
}

// beatInterval returns the time between this VM's beats to the store. One that
// wasn't acknowledged is repeated as soon as an owner's is due: until then other
// VMs may not know this one.
func (e *Edge) beatInterval(acked bool) time.Duration {
	heard := len(e.livePeers())
	e.mu.Lock()
	defer e.mu.Unlock()
	return ggsgossip.BeatInterval(heard+1, e.keeper.Owns() || !acked)
}

// recordsRead reports whether the own records were read in the current epoch. What is written
// goes by their revisions.
func (e *Edge) recordsRead() bool {
	c := e.epochs.current()
	e.mu.Lock()
	defer e.mu.Unlock()
	k, ok := e.keeper.Epoch()
	return ok && k == c
}

// wakeBeats has a beat written at once.
func (e *Edge) wakeBeats() {
	e.kicked.Store(true)
	notify(e.kick)
}

// A beatResult is what became of a beat.
type beatResult int

const (
	// beatUnsent is a beat that wasn't written, or whose answer was lost.
	beatUnsent beatResult = iota
	beatAcknowledged
	beatRefused
)

// beatOnce writes a beat.
func (e *Edge) beatOnce(ctx context.Context, count *uint64) beatResult {
	if !e.recordsRead() {
		return beatUnsent
	}
	*count++
	e.mu.Lock()
	p := e.keeper.Beat(e.Now())
	shapes := e.turns.Shapes()
	e.mu.Unlock()
	v, err := json.Marshal(&memberRecord{
		Domain: string(e.options.Domain), Beats: e.options.Beats.String(), Control: e.options.Control.String(), Count: *count,
		Capacity: e.options.Capacity,
		Shapes:   shapeRecords(shapes),
	})
	if err != nil {
		_ = level.Error(e.Log).Log("event", ggslog.EventBeatUnencoded, "err", err)
		return beatUnsent
	}
	t := ggscore.Txn{
		Epoch:      p.Epoch,
		Conditions: []ggscore.TxnCondition{{Key: e.memberKey(e.options.VM), Revision: p.Revision}},
		Writes:     []ggscore.TxnWrite{{Key: e.memberKey(e.options.VM), Value: v}},
	}
	if p.Settle {
		t.Writes = append(t.Writes, e.settled(p.Epoch)...)
	}
	for _, r := range p.Records {
		t.Conditions = append(t.Conditions, ggscore.TxnCondition{Key: e.ordererKey(r.Endpoint), Revision: r.Revision})
	}
	for _, r := range p.Drop {
		t.Conditions = append(t.Conditions, ggscore.TxnCondition{Key: e.ordererKey(r.Endpoint), Revision: r.Revision})
		t.Deletes = append(t.Deletes, e.ordererKey(r.Endpoint))
	}
	sent := e.Now()
	at, err := e.Store.Txn(ctx, t)
	var conflict *ggscore.TxnConflictError
	refused := errors.As(err, &conflict)
	if err != nil && !refused {
		_ = level.Info(e.Log).Log("event", ggslog.EventBeatFailed, "err", err)
		return beatUnsent
	}
	e.mu.Lock()
	e.keeper.BeatEnded(sent, p, at, refused)
	e.mu.Unlock()
	if refused {
		_ = level.Info(e.Log).Log("event", ggslog.EventBeatRefused, "revision", p.Revision, "records", len(p.Records))
		e.reread(ctx)
		return beatRefused
	}
	return beatAcknowledged
}

// reread reads the own records anew after a refusal.
func (e *Edge) reread(ctx context.Context) {
	es, at, err := e.Store.Snapshot(ctx, e.options.Keys.Own+"/", false)
	if err != nil {
		_ = level.Info(e.Log).Log("event", ggslog.EventRereadFailed, "err", err)
		return
	}
	e.setMembers(ctx, es, at)
	e.wakeBeats()
}

// settled returns the write that says that an epoch is settled.
func (e *Edge) settled(c ggscore.StoreEpoch) []ggscore.TxnWrite {
	v, err := json.Marshal(&epochRecord{Settled: uint64(c)})
	if err != nil {
		_ = level.Error(e.Log).Log("event", ggslog.EventRecordUnencoded, "err", err)
		return nil
	}
	return []ggscore.TxnWrite{{Key: e.epochKey(), Value: v}}
}

// claimAll writes the claims that are this VM's to write.
func (e *Edge) claimAll(ctx context.Context) {
	specs := map[ggscore.Service]ggscore.BackendSpec{}
	if t := e.paths.Load(); t != nil {
		specs = t.Config.Services
	}
	heard := e.livePeers()
	e.mu.Lock()
	e.keeper.SetHeard(heard)
	var ready []ggscore.Instance
	for _, i := range e.table.Instances("") {
		if specs[i.Service].Engine != nil && !i.Leaving {
			ready = append(ready, i)
		}
	}
	cs := e.keeper.Claims(e.Now(), ready)
	e.mu.Unlock()
	for _, c := range cs {
		v, err := json.Marshal(&ordererRecord{Owner: string(e.options.VM), Epoch: uint64(c.Epoch)})
		if err != nil {
			_ = level.Error(e.Log).Log("event", ggslog.EventClaimUnencoded, "err", err)
			return
		}
		t := ggscore.Txn{
			Epoch:      c.Epoch,
			Conditions: []ggscore.TxnCondition{{Key: e.ordererKey(c.Endpoint), Revision: c.RecordRevision}},
			Writes:     []ggscore.TxnWrite{{Key: e.ordererKey(c.Endpoint), Value: v}},
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
		e.keeper.ClaimEnded(sent, c, at)
		e.setWorkers(ctx)
		e.mu.Unlock()
	}
}

// Release ends this VM's orders and lets other VMs have its endpoints.
func (e *Edge) Release(ctx context.Context) {
	e.mu.Lock()
	e.keeper.Stop()
	p := e.keeper.Beat(e.Now())
	e.mu.Unlock()
	if len(p.Records) == 0 {
		return
	}
	v, err := json.Marshal(&ordererRecord{Owner: string(e.options.VM), Released: true, Epoch: uint64(p.Epoch)})
	if err != nil {
		_ = level.Error(e.Log).Log("event", ggslog.EventReleaseUnencoded, "err", err)
		return
	}
	t := ggscore.Txn{
		Epoch:      p.Epoch,
		Conditions: []ggscore.TxnCondition{{Key: e.memberKey(e.options.VM), Revision: p.Revision}},
	}
	for _, r := range p.Records {
		t.Conditions = append(t.Conditions, ggscore.TxnCondition{Key: e.ordererKey(r.Endpoint), Revision: r.Revision})
		t.Writes = append(t.Writes, ggscore.TxnWrite{Key: e.ordererKey(r.Endpoint), Value: v})
	}
	_, err = e.Store.Txn(ctx, t)
	_ = level.Info(e.Log).Log("event", ggslog.EventOrdersReleased, "endpoints", len(p.Records), "err", err)
}
