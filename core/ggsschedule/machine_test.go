package ggsschedule_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsschedule"
)

// adapterCount is more than an engine holds, so that evictions are needed.
const adapterCount = 4

// A slotKey identifies an adapter on an endpoint.
type slotKey struct {
	endpoint ggscore.EndpointID
	adapter  ggscore.AdapterRef
}

// A modelRun is a request with its run on an engine.
type modelRun struct {
	request     *ggscore.Request
	key         slotKey
	engine      *modelEngine
	incarnation int
	deadline    time.Time
	// dispatches and waiting follow the contract of ggscore.Scheduler.
	waiting, ended bool
	dispatches     int
	provedNotRun   bool
}

// An unsettled is an order whose end is unknown.
type unsettled struct {
	at   time.Time
	load bool
}

// A modelEngine is the true state of a runner.
type modelEngine struct {
	spec        ggscore.Endpoint
	mode        ggscore.OwnerMode
	incarnation int
	// resident holds, for each adapter, the runs that the scheduler doesn't track: runs of
	// an earlier owner, and own runs whose end was lost.
	resident  map[ggscore.AdapterRef]int
	protected []ggscore.AdapterRef
	// reportedIncarnation and reportedAt are from the last report that the scheduler
	// applied, and ownedAt is when its ownership last began.
	reportedIncarnation string
	reportedAt, ownedAt time.Time
}

// ownership identifies the incarnation and the ownership that the scheduler knows.
func (e *modelEngine) ownership() string {
	return fmt.Sprint(e.reportedIncarnation, e.ownedAt.UnixNano())
}

// A delayedEffect is an order whose end was lost and that takes effect later.
type delayedEffect struct {
	at          time.Time
	incarnation int
	load        bool
	key         slotKey
}

// A machine checks every order against the true state of the engines.
type machine struct {
	s         *ggsschedule.Scheduler
	now       time.Time
	engines   []*modelEngine
	runs      []*modelRun
	loads     map[slotKey]int
	unloads   map[slotKey]int
	unsettled map[slotKey]unsettled
	// knownResident holds what the scheduler may assume of an adapter: true after a
	// finished load or a report, false after an order to evict it.
	knownResident map[slotKey]bool
	evicted       map[slotKey]time.Time
	// orderedUnder holds, for each load or eviction, the engine incarnation and the ownership
	// that the scheduler knew when it ordered it.
	orderedUnder map[slotKey]string
	snapshots    []ggscore.RunnerReport
	delayed      []delayedEffect
	share        ggscore.LoadShare
	tokens       float64
	filled       time.Time
	n            int
	t            *rapid.T
}

func (m *machine) engine(id ggscore.EndpointID) *modelEngine {
	for _, e := range m.engines {
		if e.spec.ID == id {
			return e
		}
	}
	return nil
}

// ownRuns counts this owner's requests on an adapter, or on the whole engine.
func (m *machine) ownRuns(e *modelEngine, ref *ggscore.AdapterRef) int {
	n := 0
	for _, r := range m.runs {
		if r.engine == e && !r.ended && !r.waiting && (ref == nil || r.key.adapter == *ref) {
			n++
		}
	}
	return n
}

// activeRuns counts this owner's requests that the engine still runs on an adapter.
func (m *machine) activeRuns(e *modelEngine, ref ggscore.AdapterRef) int {
	n := 0
	for _, r := range m.runs {
		if r.engine == e && !r.ended && !r.waiting && r.key.adapter == ref && r.incarnation == e.incarnation {
			n++
		}
	}
	return n
}

func (m *machine) check(orders []ggscore.Order) {
	for _, o := range orders {
		if debug {
			fmt.Println(m.now.Sub(testStart()), o.Kind, o.Endpoint, o.Adapter)
		}
		switch o.Kind {
		case ggscore.OrderDispatch:
			m.checkDispatch(o)
		case ggscore.OrderLoad:
			m.checkLoad(o)
		case ggscore.OrderUnload:
			m.checkUnload(o)
		case ggscore.OrderRefuse:
			r := m.run(o.Request.ID)
			m.assert(r.waiting && !r.ended, "refused a request that isn't waiting")
			m.assert(o.Failure.Outcome == ggscore.OutcomeNotRun, "refusal without outcome notRun")
			r.ended = true
		}
	}
}

func (m *machine) checkDispatch(o ggscore.Order) {
	e, r := m.engine(o.Endpoint), m.run(o.Request.ID)
	k := slotKey{o.Endpoint, o.Adapter}
	m.assert(e != nil && e.spec.Service == r.request.Service, "dispatched to another service's endpoint")
	m.assert(!e.spec.Leaving, "dispatched to a leaving endpoint")
	m.assert(e.mode == ggscore.ModeFull || e.mode == ggscore.ModeResidentOnly && slices.Contains(e.protected, o.Adapter), "dispatched in a mode that forbids it")
	m.assert(m.ownRuns(e, nil) < e.spec.Slots, "dispatched beyond the slots")
	m.assert(r.waiting && !r.ended && o.Adapter == r.request.Adapter, "dispatched a request that isn't waiting")
	m.assert(r.dispatches == 0 || r.provedNotRun, "dispatched again without proof that the first run had no effect")
	if e.spec.Kind == ggscore.KindModel {
		m.assert(m.knownResident[k], "dispatched to an adapter that isn't known to be resident")
		m.assert(m.unloads[k] == 0 && m.unsettled[k].at.IsZero(), "dispatched to an adapter whose last order has an unknown end")
	}
	r.dispatches++
	r.provedNotRun = false
	r.waiting = false
	r.engine, r.incarnation, r.key = e, e.incarnation, k
}

func (m *machine) checkLoad(o ggscore.Order) {
	e := m.engine(o.Endpoint)
	k := slotKey{o.Endpoint, o.Adapter}
	m.assert(e != nil && e.mode == ggscore.ModeFull && !e.spec.Leaving, "load in a mode that forbids it")
	m.assert(m.loads[k]+m.unloads[k] == 0 && m.unsettled[k].at.IsZero(), "load while another order has an unknown end")
	m.assert(m.share.LoadsPerSecond > 0, "load without a share")
	m.fill()
	m.tokens--
	m.assert(m.tokens > -1e-6, "loads beyond the rate")
	m.loads[k]++
	m.orderedUnder[k] = e.ownership()
	inTransit := 0
	for _, n := range m.loads {
		inTransit += n
	}
	m.assert(inTransit <= m.share.InTransit, "loads beyond the share in transit")
}

func (m *machine) checkUnload(o ggscore.Order) {
	e := m.engine(o.Endpoint)
	k := slotKey{o.Endpoint, o.Adapter}
	m.assert(e != nil && e.mode == ggscore.ModeFull, "eviction in a mode that forbids it")
	m.assert(!slices.Contains(e.protected, o.Adapter), "eviction of a protected adapter")
	m.assert(m.ownRuns(e, &o.Adapter) == 0 && e.resident[o.Adapter] == 0, "eviction of an adapter with active runs")
	m.unloads[k]++
	m.orderedUnder[k] = e.ownership()
	m.knownResident[k] = false
	delete(m.unsettled, k)
}

func (m *machine) assert(ok bool, what string) {
	if !ok {
		m.t.Fatalf("%s at %s", what, m.now.Sub(testStart()))
	}
}

// fill refills the reference token bucket.
func (m *machine) fill() {
	burst := max(1, m.share.LoadsPerSecond)
	m.tokens = min(burst, m.tokens+m.now.Sub(m.filled).Seconds()*m.share.LoadsPerSecond)
	m.filled = m.now
}

func (m *machine) run(id ggscore.RequestID) *modelRun {
	for _, r := range m.runs {
		if r.request.ID == id {
			return r
		}
	}
	m.t.Fatalf("order for an unknown request %s", id)
	return nil
}

// advance moves the clock and applies the effects of delayed orders.
func (m *machine) advance(d time.Duration) {
	m.now = m.now.Add(d)
	m.delayed = slices.DeleteFunc(m.delayed, func(l delayedEffect) bool {
		if l.at.After(m.now) {
			return false
		}
		m.applyEffect(l)
		return true
	})
}

// applyEffect applies the effect of an order to the engine.
func (m *machine) applyEffect(l delayedEffect) {
	e := m.engine(l.key.endpoint)
	if e == nil || e.incarnation != l.incarnation {
		return
	}
	_, resident := e.resident[l.key.adapter]
	switch {
	case l.load && !resident && len(e.resident) < e.spec.AdapterSlots:
		e.resident[l.key.adapter] = 0
	case !l.load && resident:
		m.assert(m.activeRuns(e, l.key.adapter) == 0, "adapter with active runs was evicted")
		delete(e.resident, l.key.adapter)
	}
}

func (m *machine) addEngine(service ggscore.Service, kind ggscore.ServiceKind) {
	m.n++
	e := &modelEngine{mode: ggscore.ModeFull, resident: make(map[ggscore.AdapterRef]int)}
	e.spec = runner(fmt.Sprintf("e%d", m.n))
	e.spec.Service, e.spec.Kind = service, kind
	for i := range rapid.IntRange(0, 2).Draw(m.t, "already resident") {
		e.resident[ref(fmt.Sprintf("a%d", i))] = rapid.IntRange(0, 1).Draw(m.t, "foreign runs")
	}
	m.engines = append(m.engines, e)
	m.check(m.s.SetEndpoint(m.now, e.spec, e.mode))
}

// pickFrom draws one of the elements that fit.
func pickFrom[T any](m *machine, what string, all []T, fits func(T) bool) (T, bool) {
	var some []T
	for _, x := range all {
		if fits(x) {
			some = append(some, x)
		}
	}
	var zero T
	if len(some) == 0 {
		return zero, false
	}
	return rapid.SampledFrom(some).Draw(m.t, what), true
}

func anyEngine(*modelEngine) bool { return true }

func (m *machine) endRun() {
	r, ok := pickFrom(m, "run", m.runs, func(r *modelRun) bool { return !r.waiting && !r.ended })
	if !ok {
		return
	}
	k := rapid.SampledFrom([]ggscore.EndKind{ggscore.EndDone, ggscore.EndDone, ggscore.EndFailed, ggscore.EndUnknown, ggscore.EndAdapterMissing}).Draw(m.t, "end")
	live := r.incarnation == r.engine.incarnation
	_, resident := r.engine.resident[r.key.adapter]
	if k == ggscore.EndAdapterMissing && live && resident {
		k = ggscore.EndDone
	}
	if k == ggscore.EndUnknown && live && resident && rapid.Bool().Draw(m.t, "engine goes on") {
		r.engine.resident[r.key.adapter]++
	}
	r.ended = k == ggscore.EndDone || k == ggscore.EndUnknown
	r.waiting = !r.ended
	r.provedNotRun = r.waiting
	m.check(m.s.RequestEnded(m.now, r.request.ID, k))
}

// endOrder ends a load or an eviction, with or without its effect.
func (m *machine) endOrder(load bool) {
	orders := m.unloads
	if load {
		orders = m.loads
	}
	var keys []slotKey
	for k, n := range orders {
		if n > 0 {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b slotKey) int {
		if a.endpoint+ggscore.EndpointID(a.adapter.Name) < b.endpoint+ggscore.EndpointID(b.adapter.Name) {
			return -1
		}
		return 1
	})
	k, ok := pickFrom(m, "order", keys, func(slotKey) bool { return true })
	if !ok {
		return
	}
	orders[k]--
	e := m.engine(k.endpoint)
	if e == nil {
		return
	}
	end := rapid.SampledFrom([]ggscore.EndKind{ggscore.EndDone, ggscore.EndDone, ggscore.EndFailed, ggscore.EndUnknown}).Draw(m.t, "end")
	l := delayedEffect{incarnation: e.incarnation, load: load, key: k, at: m.now}
	_, resident := e.resident[k.adapter]
	if end == ggscore.EndDone && load && !resident && len(e.resident) >= e.spec.AdapterSlots {
		end = ggscore.EndFailed
	}
	if end == ggscore.EndFailed && !load && !resident {
		// An engine without the adapter acknowledges its unload.
		end = ggscore.EndDone
	}
	switch end {
	case ggscore.EndDone:
		m.applyEffect(l)
		m.knownResident[k] = load
		if m.orderedUnder[k] != e.ownership() {
			m.unsettled[k] = unsettled{m.now, load}
		}
		if !load {
			m.evicted[k] = m.now
		}
	case ggscore.EndUnknown:
		m.unsettled[k] = unsettled{m.now, load}
		if rapid.Bool().Draw(m.t, "takes effect") {
			l.at = m.now.Add(time.Duration(rapid.SampledFrom([]int64{0, 5, 500, 900}).Draw(m.t, "later ms")) * time.Millisecond)
			m.delayed = append(m.delayed, l)
		}
	default:
		m.knownResident[k] = !load && resident
	}
	if load {
		m.check(m.s.LoadEnded(m.now, k.endpoint, k.adapter, end))
		return
	}
	m.check(m.s.UnloadEnded(m.now, k.endpoint, k.adapter, end))
}

// takeReport returns an engine's report of its present state.
func (m *machine) takeReport(e *modelEngine) ggscore.RunnerReport {
	p := ggscore.RunnerReport{Endpoint: e.spec.ID, Incarnation: fmt.Sprint(e.incarnation), At: m.now}
	for i := range adapterCount {
		a := ref(fmt.Sprintf("a%d", i))
		if n, resident := e.resident[a]; resident {
			p.Resident = append(p.Resident, ggscore.ResidentAdapter{Ref: a, Running: n + m.activeRuns(e, a)})
		}
	}
	return p
}

// snapshot takes an engine's report; it is delivered later or never.
func (m *machine) snapshot() {
	if e, ok := pickFrom(m, "engine", m.engines, anyEngine); ok {
		m.snapshots = append(m.snapshots, m.takeReport(e))
	}
}

func (m *machine) deliver() {
	if p, ok := pickFrom(m, "report", m.snapshots, func(ggscore.RunnerReport) bool { return true }); ok {
		m.deliverReport(p)
	}
}

// deliverReport delivers a report and updates what it settles.
func (m *machine) deliverReport(p ggscore.RunnerReport) {
	e := m.engine(p.Endpoint)
	if e == nil || e.mode == ggscore.ModeNone || p.At.Before(e.ownedAt) || !p.At.After(e.reportedAt) {
		m.check(m.s.Report(m.now, p))
		return
	}
	e.reportedAt, e.reportedIncarnation = p.At, p.Incarnation
	for i := range adapterCount {
		k := slotKey{p.Endpoint, ref(fmt.Sprintf("a%d", i))}
		resident := slices.ContainsFunc(p.Resident, func(r ggscore.ResidentAdapter) bool { return r.Ref == k.adapter })
		u := m.unsettled[k]
		settled := resident && u.load && p.At.After(u.at) || !resident && p.At.After(u.at) && !u.load || !resident && p.At.After(u.at.Add(time.Second))
		if settled {
			delete(m.unsettled, k)
		}
		if resident && m.loads[k]+m.unloads[k] == 0 && p.At.After(m.evicted[k]) {
			m.knownResident[k] = true
		}
	}
	m.check(m.s.Report(m.now, p))
}

func (m *machine) submit() {
	m.n++
	r := request(fmt.Sprintf("q%d", m.n), fmt.Sprintf("a%d", rapid.IntRange(0, adapterCount-1).Draw(m.t, "adapter")))
	r.Market = ggscore.Market(rapid.SampledFrom([]string{"cr", "pa"}).Draw(m.t, "market"))
	r.Priority = ggscore.Priority(rapid.IntRange(0, 3).Draw(m.t, "priority"))
	r.Budget = time.Duration(rapid.SampledFrom([]int64{0, 300, 5000, 60000}).Draw(m.t, "budget ms")) * time.Millisecond
	r.Deferrable = time.Duration(rapid.SampledFrom([]int64{0, 0, int64(time.Second)}).Draw(m.t, "deferrable"))
	r.NonIdempotent = rapid.Bool().Draw(m.t, "non-idempotent")
	if rapid.IntRange(0, 4).Draw(m.t, "plain") == 0 {
		r.Service, r.Kind, r.Adapter = "custodia", ggscore.KindPlain, ggscore.AdapterRef{}
	}
	m.runs = append(m.runs, &modelRun{request: r, waiting: true, deadline: m.now.Add(r.Budget)})
	m.check(m.s.Submit(m.now, r))
}

func (m *machine) tick() {
	m.check(m.s.Tick(m.now))
	for _, r := range m.runs {
		m.assert(!r.waiting || r.ended || r.deadline.After(m.now), "a request is still queued after its budget ran out")
	}
}

func (m *machine) restart() {
	if e, ok := pickFrom(m, "engine", m.engines, anyEngine); ok {
		e.incarnation++
		clear(e.resident)
	}
}

func (m *machine) setMode() {
	e, ok := pickFrom(m, "engine", m.engines, anyEngine)
	if !ok {
		return
	}
	before := e.mode
	e.mode = rapid.SampledFrom([]ggscore.OwnerMode{ggscore.ModeFull, ggscore.ModeFull, ggscore.ModeResidentOnly, ggscore.ModeNone}).Draw(m.t, "mode")
	e.spec.Leaving = rapid.IntRange(0, 5).Draw(m.t, "leaving") == 0
	if before == ggscore.ModeNone {
		m.actAsOtherOwner(e)
	}
	if e.mode != before && (before == ggscore.ModeNone || e.mode == ggscore.ModeFull) {
		e.ownedAt = m.now
		for i := range adapterCount {
			k := slotKey{e.spec.ID, ref(fmt.Sprintf("a%d", i))}
			if before == ggscore.ModeNone || !slices.Contains(e.protected, k.adapter) {
				m.knownResident[k] = false
				m.evicted[k] = m.now.Add(-1)
			}
		}
	}
	m.check(m.s.SetEndpoint(m.now, e.spec, e.mode))
}

// actAsOtherOwner evicts idle adapters of an engine and starts runs, as another owner
// might have done.
func (m *machine) actAsOtherOwner(e *modelEngine) {
	for i := range adapterCount {
		a := ref(fmt.Sprintf("a%d", i))
		n, resident := e.resident[a]
		idle := n+m.ownRuns(e, &a) == 0
		switch {
		case resident && idle && rapid.Bool().Draw(m.t, "evicted by another"):
			delete(e.resident, a)
		case resident && rapid.Bool().Draw(m.t, "run by another"):
			e.resident[a]++
		}
	}
}

func (m *machine) protect() {
	e, ok := pickFrom(m, "engine", m.engines, anyEngine)
	if !ok {
		return
	}
	e.protected = nil
	for i := range adapterCount {
		if rapid.IntRange(0, 3).Draw(m.t, "protected") == 0 {
			e.protected = append(e.protected, ref(fmt.Sprintf("a%d", i)))
		}
	}
	m.check(m.s.Protect(m.now, e.spec.ID, e.protected))
}

func (m *machine) endForeignRuns() {
	e, ok := pickFrom(m, "engine", m.engines, anyEngine)
	if !ok {
		return
	}
	for i := range adapterCount {
		if a := ref(fmt.Sprintf("a%d", i)); e.resident[a] > 0 {
			e.resident[a]--
		}
	}
}

func (m *machine) removeOrAdd() {
	if len(m.engines) < 3 {
		m.addEngine("asistente", ggscore.KindModel)
		return
	}
	if rapid.IntRange(0, 3).Draw(m.t, "remove") > 0 {
		return
	}
	e, _ := pickFrom(m, "engine", m.engines, anyEngine)
	m.engines = slices.DeleteFunc(m.engines, func(o *modelEngine) bool { return o == e })
	for k := range m.loads {
		if k.endpoint == e.spec.ID {
			delete(m.loads, k)
		}
	}
	m.check(m.s.RemoveEndpoint(m.now, e.spec.ID))
}

func (m *machine) setShare() {
	m.fill()
	m.share.LoadsPerSecond = rapid.SampledFrom([]float64{0, 1.3, 4, 4}).Draw(m.t, "rate")
	m.share.InTransit = rapid.SampledFrom([]int{0, 1, 3, 3}).Draw(m.t, "in transit")
	m.tokens = min(m.tokens, max(1, m.share.LoadsPerSecond))
	m.check(m.s.SetLoadShare(m.now, m.share))
}

func (m *machine) cancel() {
	if r, ok := pickFrom(m, "request", m.runs, func(r *modelRun) bool { return !r.ended }); ok {
		m.check(m.s.Cancel(m.now, r.request.ID))
	}
}

// An action is one step of the generated history.
type action struct {
	name   string
	weight int
	do     func()
}

// String names the action in rapid's output.
func (a action) String() string { return a.name }

// actions returns all actions, each repeated according to its weight.
func (m *machine) actions() []action {
	var all []action
	for _, a := range []action{
		{"advance", 4, func() {
			m.advance(time.Duration(rapid.SampledFrom([]int64{10, 300, 1100}).Draw(m.t, "ms")) * time.Millisecond)
		}},
		{"submit", 8, m.submit},
		{"end run", 6, m.endRun},
		{"end load", 8, func() { m.endOrder(true) }},
		{"end unload", 4, func() { m.endOrder(false) }},
		{"snapshot", 2, m.snapshot},
		{"deliver", 2, m.deliver},
		{"report all", 4, m.reportAll},
		{"tick", 3, m.tick},
		{"restart", 1, m.restart},
		{"set mode", 2, m.setMode},
		{"protect", 1, m.protect},
		{"foreign ends", 2, m.endForeignRuns},
		{"remove or add", 1, m.removeOrAdd},
		{"set share", 1, m.setShare},
		{"cancel", 1, m.cancel},
	} {
		for range a.weight {
			all = append(all, a)
		}
	}
	return all
}

// reportAll delivers a fresh report of every engine.
func (m *machine) reportAll() {
	for _, e := range m.engines {
		m.deliverReport(m.takeReport(e))
	}
}

// Guards against evicting an adapter that a run uses, and against dispatching a request twice or
// never. Engines restart, fail loads, leave and change owners, answers to orders are lost, and
// reports come late, twice or never.
func TestSchedulerKeepsItsContract(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			s:             ggsschedule.New(ggsschedule.Options{Seed: 1, Policy: ggsschedule.Policy(rapid.IntRange(0, 3).Draw(t, "policy"))}),
			now:           testStart(),
			loads:         make(map[slotKey]int),
			unloads:       make(map[slotKey]int),
			unsettled:     make(map[slotKey]unsettled),
			knownResident: make(map[slotKey]bool),
			evicted:       make(map[slotKey]time.Time),
			orderedUnder:  make(map[slotKey]string),
			share:         ggscore.LoadShare{LoadsPerSecond: 4, InTransit: 3},
			filled:        testStart(),
			t:             t,
		}
		m.check(m.s.SetLoadShare(m.now, m.share))
		m.addEngine("asistente", ggscore.KindModel)
		m.addEngine("asistente", ggscore.KindModel)
		m.addEngine("custodia", ggscore.KindPlain)
		actions := m.actions()
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			rapid.SampledFrom(actions).Draw(t, "action").do()
		}
		m.advance(time.Minute)
		m.tick()
	})
}

const debug = false
