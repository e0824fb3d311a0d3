package ggsowners

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsmember"
	"greengageslip/core/ggsowner"
)

// Owners keeps the ownership of one dispatcher. It is safe for concurrent use.
type Owners struct {
	store ggscore.Store
	clock func() time.Time
	self  ggsowner.Holder
	opts  Options
	log   log.Logger
	wake  chan struct{}

	// mu guards all below.
	mu         sync.Mutex
	lease      ggsowner.Lease
	groups     []*group
	endpoints  map[ggscore.EndpointID]*endpoint
	candidates []ggsowner.Holder
	absent     map[ggscore.VMID]time.Time
	listed     map[ggscore.VMID]bool
	notify     []func()
	left       bool
}

var _ ggscore.OwnerGuard = (*Owners)(nil)

type group struct {
	key   ggscore.Key
	state *ggsowner.Group
	// last is what subscribers were told of.
	last GroupStatus
}

// endpoint is what an endpoint holds, or may soon.
type endpoint struct {
	group    int
	resident map[ggscore.AdapterRef]bool
	loading  map[ggscore.AdapterRef]time.Time
}

// A GroupStatus says what a dispatcher knows of a group.
type GroupStatus struct {
	Group    int
	Mode     ggscore.OwnerMode
	Owner    ggsowner.Holder
	Fence    ggscore.FencingToken
	Released bool
	Pins     int
}

// New returns the ownership of one dispatcher, which owns nothing yet. The
// clock's times carry monotonic readings.
func New(s ggscore.Store, clock func() time.Time, self ggsowner.Holder, o Options, l log.Logger) *Owners {
	w := &Owners{
		store:     s,
		clock:     clock,
		self:      self,
		opts:      o,
		log:       l,
		wake:      make(chan struct{}, 1),
		lease:     ggsowner.NewLease(o.Limits),
		endpoints: make(map[ggscore.EndpointID]*endpoint),
		absent:    make(map[ggscore.VMID]time.Time),
		listed:    make(map[ggscore.VMID]bool),
	}
	for i := range o.Groups {
		k := ggscore.KeyOf("owners", string(o.Domain), strconv.Itoa(i))
		w.groups = append(w.groups, &group{key: k, state: ggsowner.NewGroup(self)})
	}
	return w
}

// Check implements ggscore.OwnerGuard. It is called right before the order is
// written, in the goroutine that writes it, with the time of then.
func (o *Owners) Check(
	now time.Time, id ggscore.EndpointID, a ggscore.AdapterRef, k ggscore.OrderKind,
) (ggscore.FencingToken, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.endpoints[id]
	if !ok {
		return 0, &UnknownEndpointError{Endpoint: id}
	}
	g := o.groups[e.group].state
	f, err := g.Check(now, &o.lease, id, a, k)
	if err != nil {
		return 0, err
	}
	// What is being loaded is protected while the load takes its time, so that
	// it may be used as soon as it is there.
	if k == ggscore.OrderLoad {
		e.loading[a] = now
		o.protect(e.group, now)
	}
	return f, nil
}

// Mode says what may be done with an endpoint now.
func (o *Owners) Mode(now time.Time, id ggscore.EndpointID) ggscore.OwnerMode {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.endpoints[id]
	if !ok {
		return ggscore.ModeNone
	}
	return o.groups[e.group].state.Mode(now, &o.lease)
}

// Observe takes a runner's report: what it holds is protected, what it no
// longer holds is not.
func (o *Owners) Observe(r ggscore.RunnerReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.endpoints[r.Endpoint]
	if !ok {
		return
	}
	now := o.clock()
	e.resident = make(map[ggscore.AdapterRef]bool, len(r.Resident))
	for _, a := range r.Resident {
		e.resident[a.Ref] = true
	}
	for _, a := range r.Loading {
		e.resident[a] = true
	}
	for a, at := range e.loading {
		if now.Sub(at) > o.opts.LoadingFor {
			delete(e.loading, a)
		}
	}
	o.protect(e.group, now)
}

// Pins returns the adapters on an endpoint that earlier owners may be using.
// They may not be evicted.
func (o *Owners) Pins(id ggscore.EndpointID) []ggscore.AdapterRef {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.endpoints[id]
	if !ok {
		return nil
	}
	return o.groups[e.group].state.Record().PinnedOn(id, o.self)
}

// SetCandidates names the live dispatchers of the domain that aren't leaving.
// Another life of an earlier holder shows that the earlier one has stopped.
func (o *Owners) SetCandidates(hs []ggsowner.Holder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.candidates = slices.Clone(hs)
}

// SetEndpoints names the endpoints of the domain.
func (o *Owners) SetEndpoints(ids []ggscore.EndpointID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	next := make(map[ggscore.EndpointID]*endpoint, len(ids))
	for _, id := range ids {
		next[id] = o.endpoints[id]
		if next[id] == nil {
			next[id] = &endpoint{
				group:   ggsowner.GroupIndex(id, o.opts.Groups),
				loading: make(map[ggscore.AdapterRef]time.Time),
			}
		}
	}
	o.endpoints = next
	for i := range o.groups {
		o.protect(i, now)
	}
}

// SetVMs takes the platform's list. A holder whose VM was listed and is
// missing for long has stopped.
func (o *Owners) SetVMs(now time.Time, vms []ggscore.VM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	present := make(map[ggscore.VMID]bool, len(vms))
	for _, v := range vms {
		present[v.ID] = true
	}
	for vm := range o.listed {
		if _, ok := o.absent[vm]; !present[vm] && !ok {
			o.absent[vm] = now
		}
	}
	for vm := range present {
		o.listed[vm] = true
		delete(o.absent, vm)
	}
}

// Status returns what is known of each group.
func (o *Owners) Status(now time.Time) []GroupStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []GroupStatus
	for i := range o.groups {
		all = append(all, o.status(i, now))
	}
	return all
}

// Subscribe has f called after modes or pins may have changed. f may call any
// method of o.
func (o *Owners) Subscribe(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notify = append(o.notify, f)
}

// protect tells a group what its endpoints hold. An endpoint that has not
// reported yet keeps what the record says.
func (o *Owners) protect(g int, now time.Time) {
	s := o.groups[g].state
	if !s.Owned() {
		return
	}
	want := ggsowner.AdapterSet{}
	for id, e := range o.endpoints {
		if e.group != g {
			continue
		}
		if e.resident == nil {
			want[id] = append(want[id], s.Record().Protected[id]...)
		}
		for a := range e.resident {
			want[id] = append(want[id], a)
		}
		for a, at := range e.loading {
			if !e.resident[a] && now.Sub(at) <= o.opts.LoadingFor {
				want[id] = append(want[id], a)
			}
		}
	}
	if s.Protect(want) {
		o.poke()
	}
}

func (o *Owners) poke() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *Owners) status(i int, now time.Time) GroupStatus {
	s := o.groups[i].state
	r := s.Record()
	return GroupStatus{
		Group: i, Mode: s.Mode(now, &o.lease), Owner: r.Owner, Fence: r.Fence, Released: r.Released, Pins: len(r.Pins),
	}
}

// stopped reports whether an earlier holder has ended for certain: a later
// life of it is seen, or its VM is missing from the platform's list for long.
func (o *Owners) stopped(h ggsowner.Holder, now time.Time) bool {
	for _, l := range o.candidates {
		if l.VM == h.VM && ggsmember.Supersedes(l.Incarnation, h.Incarnation) {
			return true
		}
	}
	at, ok := o.absent[h.VM]
	return ok && now.Sub(at) >= o.opts.AbsentFor
}

// noteStopped tells a group which of the holders of its pins have ended.
func (o *Owners) noteStopped(s *ggsowner.Group, now time.Time) {
	for _, p := range s.Record().Pins {
		if o.stopped(p.Holder, now) {
			s.MarkStopped(p.Holder)
		}
	}
}
