package ggsedge

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsrelay"
	"greengageslip/core/ggsresident"
	"greengageslip/io/ggslog"
)

const (
	// orderTimeout bounds an order, and is covered by ggsfencing's margin. Each order waits for
	// the previous one, so an unanswered order must not block the others: with three in ten
	// unanswered, a timeout of 200 ms left a runner 12 orders a second. Repeating an order that
	// is only slow does no harm.
	orderTimeout = 80 * time.Millisecond
	// minOrderTimeout is the timeout for endpoints that answer at once. An order takes 1 to 5 ms
	// within a failure domain, and 18 ms to another region.
	minOrderTimeout = 25 * time.Millisecond
	// orderTimeoutFactor is the timeout of an order as a multiple of the usual order time.
	orderTimeoutFactor = 5
	// orderTimeSmoothing is the weight of the last order in the usual order time.
	orderTimeSmoothing = 0.1
	// statusTimeout bounds the request for an endpoint's status report.
	statusTimeout = 400 * time.Millisecond
	// workerPause is the pause of a worker that may not send orders, or whose endpoint doesn't
	// answer status requests.
	workerPause = 200 * time.Millisecond
)

// A worker sends orders to one endpoint that this VM owns. Its fields are guarded by Edge.mu,
// except for wakeups.
type worker struct {
	instance ggscore.Instance
	engine   *ggscore.EngineSpec
	ledger   *ggsresident.Ledger
	orders   *orderLog
	// changed is closed and replaced after each change of the ledger.
	changed chan struct{}
	// unreported is set if the last change was not sent to the peers yet.
	unreported bool
	wakeups    chan struct{}
	cancel     context.CancelFunc
	// assigned is the base model that the endpoint is to load while it holds none, empty for none yet, and assignedAt is when that was
	// last decided.
	assigned   ggscore.BaseModel
	assignedAt time.Time
	// usualOrderTime is the moving average of the time that orders take, zero for unknown.
	usualOrderTime time.Duration
}

// timeout returns the timeout of the next order.
func (w *worker) timeout() time.Duration {
	if w.usualOrderTime == 0 {
		return orderTimeout
	}
	return min(max(orderTimeoutFactor*w.usualOrderTime, minOrderTimeout), orderTimeout)
}

// recordOrderTime adds the time that an order took to the moving average.
func (w *worker) recordOrderTime(d time.Duration) {
	if w.usualOrderTime == 0 {
		w.usualOrderTime = d
		return
	}
	w.usualOrderTime += time.Duration(orderTimeSmoothing * float64(d-w.usualOrderTime))
}

func (w *worker) wake() {
	select {
	case w.wakeups <- struct{}{}:
	default:
	}
}

func (w *worker) signalChange() {
	w.unreported = true
	close(w.changed)
	w.changed = make(chan struct{})
}

// setWorkers starts workers for the endpoints that this VM owns, and stops the workers of
// other endpoints. Edge.mu is held.
func (e *Edge) setWorkers(ctx context.Context) {
	specs := map[ggscore.Service]ggscore.BackendSpec{}
	if t := e.paths.Load(); t != nil {
		specs = t.Config.Services
	}
	want := map[ggscore.EndpointID]bool{}
	for _, i := range e.table.Instances("") {
		s := specs[i.Service]
		if s.Engine == nil || e.ownership.Owner(i.ID) != e.options.VM {
			continue
		}
		want[i.ID] = true
		w := e.workers[i.ID]
		if w != nil && w.instance.StartedAt.Equal(i.StartedAt) && w.instance.Addr == i.Addr {
			w.instance, w.engine = i, s.Engine
			w.ledger.SetEngine(s.Engine)
			continue
		}
		if w != nil {
			w.cancel()
		}
		c, cancel := context.WithCancel(ctx)
		l := e.orderLogOf(i.ID)
		w = &worker{
			instance: i, engine: s.Engine, orders: l,
			ledger: ggsresident.NewLedger(ggsresident.Options{
				Endpoint: i.ID, Demand: e.table, Engine: s.Engine, Unanswered: &l.unanswered,
				Started: e.startedBy(i.StartedAt), ReportDelay: e.reportDelay(), Policy: e.options.Policy,
			}),
			changed: make(chan struct{}), wakeups: make(chan struct{}, 1), cancel: cancel,
		}
		e.workers[i.ID] = w
		go e.work(c, w)
	}
	e.setLoadable()
	for id, w := range e.workers {
		if !want[id] {
			w.cancel()
			w.signalChange()
			delete(e.workers, id)
		}
	}
}

// clockMargin exceeds the difference between the clocks of VMs and endpoints.
const clockMargin = 10 * time.Second

// startedBy returns when an endpoint's process had started at the latest, on this VM's clock for decisions, zero if its
// entry doesn't say.
func (e *Edge) startedBy(at time.Time) time.Time {
	if at.Unix() <= 0 {
		return time.Time{}
	}
	return e.Now().Add(clockMargin - e.TimeOfDay().Sub(at))
}

// reportDelay returns the extra delay of heartbeats through relays. Edge.mu is held.
func (e *Edge) reportDelay() time.Duration {
	if e.node.UsesRelays() {
		return ggsrelay.RelayDelay
	}
	return 0
}

// ownerTimeout is the age of an owner's last heartbeat from which this VM doesn't call the
// owner to load adapters. It is six heartbeat intervals. An owner that is gone, suspended or
// cut off doesn't answer, and requests waited 900 ms before they tried other endpoints.
const ownerTimeout = 900 * time.Millisecond

// setLoadable records at which endpoints adapters can be loaded now. Edge.mu is held.
func (e *Edge) setLoadable() {
	now := e.Now()
	for _, i := range e.table.Instances("") {
		owner := e.ownership.Owner(i.ID)
		loadable := false
		if owner == e.options.VM {
			_, loadable = e.ownership.AuthorizeOrder(now, i.ID)
		} else if p := e.peers[owner]; p != nil {
			loadable = now.Sub(p.lastSeen) < ownerTimeout
		}
		e.table.SetLoadable(i.ID, loadable)
		e.table.SetLoadableFrom(i.ID, e.ownership.ReleasedUntil(i.ID))
	}
}

// work sends orders until the context ends.
func (e *Edge) work(ctx context.Context, w *worker) {
	var polls sync.WaitGroup
	defer polls.Wait()
	for ctx.Err() == nil {
		pause := e.step(ctx, w, &polls)
		if pause == 0 {
			continue
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-w.wakeups:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// step does what is due at an endpoint and returns the pause until the next step.
//
// Polls run concurrently with the orders. One after the other, an unanswered poll blocked all
// loads of the runner for its timeout; with three in ten unanswered, that was half of the time.
func (e *Edge) step(ctx context.Context, w *worker, polls *sync.WaitGroup) time.Duration {
	e.mu.Lock()
	now := e.Now()
	i := w.instance
	fence, authorized := e.ownership.AuthorizeOrder(now, i.ID)
	synced := w.ledger.Synced(now)
	if authorized && w.orders.fence != fence {
		e.mu.Unlock()
		if !e.takeOverOrders(ctx, w, fence) {
			return workerPause
		}
		return 0
	}
	if authorized && synced {
		e.assignModels(now, w)
		e.startRecording(ctx, now, w, polls.Go)
	}
	s, ok := w.ledger.Next(now)
	due := earliest(w.ledger.Due(now), w.orders.recordDue(now))
	blocked := w.ledger.Blocked(now)
	misdirected := w.ledger.RecentlyMisdirected(now)
	timeout := w.timeout()
	idle := w.idlePause()
	e.mu.Unlock()
	if !authorized {
		return workerPause
	}
	if !synced {
		if misdirected || !e.sync(ctx, w, i) {
			return workerPause
		}
		return 0
	}
	if !ok {
		switch {
		case due.IsZero():
			return idle
		case blocked:
			return blockedPause
		}
		return max(due.Sub(now), time.Millisecond)
	}
	o := ggscore.PlacementOrder{
		Unload: s.Unload, Endpoint: i.ID, Addr: i.Addr, Target: s.Target, Version: s.Version,
		Expected: s.Expected, Holder: e.options.VM, Fence: fence,
	}
	if s.Poll && e.options.Policy.On(ggscore.MechanismConcurrentPolls) {
		polls.Go(func() {
			e.order(ctx, w, o, s, timeout)
			w.wake()
		})
		return 0
	}
	e.order(ctx, w, o, s, timeout)
	return 0
}

// earliest returns the earlier of two times, of which a zero one stands for never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// sync updates the ledger from the endpoint's status report, and reports success.
func (e *Edge) sync(ctx context.Context, w *worker, i ggscore.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st, err := e.PlacementClient.Status(ctx, i.ID, i.Addr)
	if err != nil {
		_ = level.Info(e.Log).Log("event", ggslog.EventStatusFailed, "endpoint", i.ID, "err", err)
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if st.StartedAt.After(i.StartedAt) && e.origins.Mixed(i.Service) {
		// The list still shows the process before, whose software may be of another version.
		if e.table.RecordDeparture(ggscore.Departure{Endpoint: i.ID, StartedAt: i.StartedAt}) {
			_ = level.Info(e.Log).Log("event", ggslog.EventEndpointLeaving, "endpoint", i.ID, "restarted", true)
		}
		return false
	}
	w.ledger.Sync(e.Now(), st)
	e.recordHeld(i.ID, w)
	w.signalChange()
	return true
}

// recordHeld updates the placement table with what an endpoint of this VM holds. Edge.mu is
// held.
func (e *Edge) recordHeld(id ggscore.EndpointID, w *worker) {
	now := e.Now()
	e.table.SetHeld(now, id, w.ledger.Resident())
	e.table.SetLoadCapacity(id, w.ledger.Waiting(), w.ledger.FreeCapacity(now))
}

// order sends one order and records its answer.
func (e *Edge) order(ctx context.Context, w *worker, o ggscore.PlacementOrder, s ggsresident.Step, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	begun := e.Monotonic()
	e.stats.Orders.Add(1)
	a, err := e.PlacementClient.Order(ctx, o)
	e.mu.Lock()
	defer e.mu.Unlock()
	if a != ggscore.PlacementUnknown {
		w.recordOrderTime(e.since(begun))
	}
	w.ledger.HandleAnswer(e.Now(), s, a)
	e.recordHeld(o.Endpoint, w)
	w.signalChange()
	l := level.Debug(e.Log)
	if a != ggscore.PlacementAccepted && a != ggscore.PlacementSatisfied {
		l = level.Info(e.Log)
	}
	_ = l.Log("event", ggslog.EventOrderGiven, "endpoint", o.Endpoint, "unload", o.Unload, "adapter", o.Target, "version", o.Version,
		"expected", o.Expected, "poll", s.Poll, "fence", o.Fence, "answer", int(a), "took", e.since(begun), "err", err)
}
