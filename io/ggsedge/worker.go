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
	// orderTimeout bounds an order; ggsfencing's margin covers it. Each order waits
	// for the one before, so one that isn't answered must not hold up the rest: where
	// three in ten aren't, 200 ms left a runner 12 orders a second. One that is only
	// slow is repeated without harm.
	orderTimeout = 80 * time.Millisecond
	// leastOrderTimeout is the timeout where answers come at once: an order within
	// a failure domain takes 1 to 5 ms, one to another region 18.
	leastOrderTimeout = 25 * time.Millisecond
	// orderTimes is the multiple of the usual time that an order may take.
	orderTimes = 5
	// orderWeight is the weight of the last order in the usual time.
	orderWeight = 0.1
	// statusTimeout bounds the question for an endpoint's report.
	statusTimeout = 400 * time.Millisecond
	// workerPause is the pause of an endpoint's worker that may give no orders,
	// or whose endpoint answers none.
	workerPause = 200 * time.Millisecond
)

// A worker gives one endpoint its orders. It is guarded by Edge.mu.
type worker struct {
	instance ggscore.Instance
	ledger   *ggsresident.Ledger
	// changed is closed and replaced when the ledger has changed.
	changed chan struct{}
	// untold says that peers weren't told of the last change.
	untold bool
	kick   chan struct{}
	cancel context.CancelFunc
	// usual is the time that orders usually take.
	usual time.Duration
}

// timeout returns the time that the next order may take.
func (w *worker) timeout() time.Duration {
	if w.usual == 0 {
		return orderTimeout
	}
	return min(max(orderTimes*w.usual, leastOrderTimeout), orderTimeout)
}

// took notes the time that an order took.
func (w *worker) took(d time.Duration) {
	if w.usual == 0 {
		w.usual = d
		return
	}
	w.usual += time.Duration(orderWeight * float64(d-w.usual))
}

func (w *worker) wake() {
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

func (w *worker) notify() {
	w.untold = true
	close(w.changed)
	w.changed = make(chan struct{})
}

// setWorkers starts workers for the endpoints whose orders are this VM's and
// ends those of others. Edge.mu is held.
func (e *Edge) setWorkers(ctx context.Context) {
	specs := map[ggscore.Service]ggscore.BackendSpec{}
	if t := e.paths.Load(); t != nil {
		specs = t.Config.Services
	}
	want := map[ggscore.EndpointID]bool{}
	for _, i := range e.table.Instances("") {
		s := specs[i.Service]
		if s.Engine == nil || e.keeper.Owner(i.ID) != e.options.VM {
			continue
		}
		want[i.ID] = true
		w := e.workers[i.ID]
		if w != nil && w.instance.StartedAt.Equal(i.StartedAt) && w.instance.Addr == i.Addr {
			w.instance = i
			continue
		}
		if w != nil {
			w.cancel()
		}
		c, cancel := context.WithCancel(ctx)
		w = &worker{
			instance: i,
			ledger: ggsresident.NewLedger(ggsresident.Options{
				Endpoint: i.ID, Demand: e.table, Slots: s.Engine.AdapterCapacity(), Unanswered: e.unansweredOf(i.ID),
				ReportDelay: e.newsDelay(), Policy: e.options.Policy,
			}),
			changed: make(chan struct{}), kick: make(chan struct{}, 1), cancel: cancel,
		}
		e.workers[i.ID] = w
		go e.work(c, w, s.Engine)
	}
	e.setLoadable()
	for id, w := range e.workers {
		if !want[id] {
			w.cancel()
			w.notify()
			delete(e.workers, id)
		}
	}
}

// unansweredOf returns the orders that an endpoint didn't answer. Edge.mu is held.
func (e *Edge) unansweredOf(id ggscore.EndpointID) *ggsresident.Unanswered {
	now := e.Now()
	for o, u := range e.unansweredOrders {
		if e.workers[o] == nil && u.Empty(now) {
			delete(e.unansweredOrders, o)
		}
	}
	u := e.unansweredOrders[id]
	if u == nil {
		u = &ggsresident.Unanswered{}
		e.unansweredOrders[id] = u
	}
	return u
}

// newsDelay returns how much longer heartbeats take through relays. Edge.mu is held.
func (e *Edge) newsDelay() time.Duration {
	if e.node.UsesRelays() {
		return ggsrelay.RelayDelay
	}
	return 0
}

// peerSilence is the silence after which a peer isn't asked for loads: six beats.
// One that is gone, frozen or cut off answers nothing, and requests waited 900 ms
// for it before they went elsewhere.
const peerSilence = 900 * time.Millisecond

// setLoadable notes which endpoints get orders now. Edge.mu is held.
func (e *Edge) setLoadable() {
	now := e.Now()
	for _, i := range e.table.Instances("") {
		owner := e.keeper.Owner(i.ID)
		loadable := false
		if owner == e.options.VM {
			_, loadable = e.keeper.AuthorizeOrder(now, i.ID)
		} else if p := e.peers[owner]; p != nil {
			loadable = now.Sub(p.heard) < peerSilence
		}
		e.table.SetLoadable(i.ID, loadable)
	}
}

// work gives orders until the context ends.
func (e *Edge) work(ctx context.Context, w *worker, g *ggscore.EngineSpec) {
	var questions sync.WaitGroup
	defer questions.Wait()
	for ctx.Err() == nil {
		pause := e.step(ctx, w, g, &questions)
		if pause == 0 {
			continue
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-w.kick:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// step does what is due at an endpoint and returns the pause until the next.
//
// Questions go out beside the orders: one without an answer held up all loads of
// the runner for its timeout, and where three in ten aren't answered that was half
// of the time.
func (e *Edge) step(ctx context.Context, w *worker, g *ggscore.EngineSpec, questions *sync.WaitGroup) time.Duration {
	e.mu.Lock()
	now := e.Now()
	i := w.instance
	fence, may := e.keeper.AuthorizeOrder(now, i.ID)
	synced := w.ledger.Synced(now)
	if may && synced {
		e.wantModels(now, w, g)
	}
	s, ok := w.ledger.Next(now)
	due := w.ledger.Due(now)
	moved := w.ledger.RecentlyMisdirected(now)
	timeout := w.timeout()
	e.mu.Unlock()
	if !may {
		return workerPause
	}
	if !synced {
		if moved || !e.sync(ctx, w, i) {
			return workerPause
		}
		return 0
	}
	if !ok {
		if due.IsZero() {
			return time.Hour
		}
		return max(due.Sub(now), time.Millisecond)
	}
	o := ggscore.PlacementOrder{
		Unload: s.Unload, Endpoint: i.ID, Addr: i.Addr, Target: s.Target, Version: s.Version,
		Expected: s.Expected, Holder: e.options.VM, Fence: fence,
	}
	if s.Poll && e.options.Policy.On(ggscore.MechanismQuestions) {
		questions.Go(func() {
			e.order(ctx, w, o, s, timeout)
			w.wake()
		})
		return 0
	}
	e.order(ctx, w, o, s, timeout)
	return 0
}

// wantModels asks for the base models of an endpoint that holds none: it has
// started anew. Edge.mu is held.
func (e *Edge) wantModels(now time.Time, w *worker, g *ggscore.EngineSpec) {
	for _, m := range g.Models {
		if w.ledger.Holds(ggscore.ModelAdapter{Model: m.Name}, 0) {
			return
		}
	}
	if len(g.Models) > 0 {
		w.ledger.Want(now, ggscore.ModelAdapter{Model: g.Models[0].Name}, 0)
	}
}

// sync asks an endpoint what it holds.
func (e *Edge) sync(ctx context.Context, w *worker, i ggscore.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st, err := e.Orderer.Status(ctx, i.ID, i.Addr)
	if err != nil {
		_ = level.Info(e.Log).Log("event", ggslog.EventStatusFailed, "endpoint", i.ID, "err", err)
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.ledger.Sync(e.Now(), st)
	e.noteHeld(i.ID, w)
	w.notify()
	return true
}

// noteHeld tells the table what an endpoint of this VM holds. Edge.mu is held.
func (e *Edge) noteHeld(id ggscore.EndpointID, w *worker) {
	now := e.Now()
	e.table.SetHeld(now, id, w.ledger.Resident())
	e.table.SetLoadCapacity(id, w.ledger.Waiting(), w.ledger.FreeCapacity(now))
}

// order gives one order.
func (e *Edge) order(ctx context.Context, w *worker, o ggscore.PlacementOrder, s ggsresident.Step, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	begun := e.Steady()
	e.stats.Orders.Add(1)
	a, err := e.Orderer.Order(ctx, o)
	e.mu.Lock()
	defer e.mu.Unlock()
	if a != ggscore.PlacementUnknown {
		w.took(e.since(begun))
	}
	w.ledger.HandleAnswer(e.Now(), s, a)
	e.noteHeld(o.Endpoint, w)
	w.notify()
	l := level.Debug(e.Log)
	if a != ggscore.PlacementAccepted && a != ggscore.PlacementSatisfied {
		l = level.Info(e.Log)
	}
	_ = l.Log("event", ggslog.EventOrderGiven, "endpoint", o.Endpoint, "unload", o.Unload, "adapter", o.Target, "version", o.Version,
		"expected", o.Expected, "poll", s.Poll, "fence", o.Fence, "answer", int(a), "took", e.since(begun), "err", err)
}
