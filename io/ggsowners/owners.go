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

// Owners maintains one dispatcher's ownership of groups. It is safe for concurrent use.
type Owners struct {
	store ggscore.Store
	clock func() time.Time
	self  ggsowner.Holder
	opts  Options
	log   log.Logger
	wake  chan struct{}

	// mu guards the fields below.
	mu         sync.Mutex
	lease      ggsowner.Lease
	groups     []*group
	endpoints  map[ggscore.EndpointID]*endpoint
	candidates []ggsowner.Holder
	// absent holds the time since when a VM is missing from the platform's list, and listed
	// the VMs that were ever in that list.
	absent      map[ggscore.VMID]time.Time
	listed      map[ggscore.VMID]bool
	subscribers []func()
	// left is set once Leave has given up the lease.
	left bool
}

var _ ggscore.OwnerGuard = (*Owners)(nil)

type group struct {
	key   ggscore.Key
	state *ggsowner.Group
	// read is the time of the last read of the record.
	read time.Time
	// unreadable is the revision of a record that can't be decoded, seen first at
	// unreadableSince. Zero means that the record could be decoded.
	unreadable      ggscore.StoreRevision
	unreadableSince time.Time
	// reported is the status of the last notification of subscribers.
	reported GroupStatus
}

// An endpoint holds the adapters that are resident or loading on an endpoint. resident is
// nil before the first report. loading holds the times of load orders.
type endpoint struct {
	group    int
	resident map[ggscore.AdapterRef]bool
	loading  map[ggscore.AdapterRef]time.Time
}

// A GroupStatus is a dispatcher's view of a group.
type GroupStatus struct {
	Group    int
	Mode     ggscore.OwnerMode
	Owner    ggsowner.Holder
	Fence    ggscore.FencingToken
	Released bool
	Pins     int
}

// New returns the Owners of one dispatcher, which owns no group yet. The times of the clock
// must have monotonic readings.
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

// Check implements ggscore.OwnerGuard. It must be called right before the order is sent, in
// the goroutine that sends it, with the current time.
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
	// Requests may be dispatched only for adapters that the stored record protects from
	// eviction by later owners. An adapter is protected from its load order on, so that it
	// can be used as soon as it is loaded.
	if k == ggscore.OrderLoad {
		e.loading[a] = now
		o.protect(e.group, now)
	}
	return f, nil
}

// Mode returns what this dispatcher may do with an endpoint now.
func (o *Owners) Mode(now time.Time, id ggscore.EndpointID) ggscore.OwnerMode {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.endpoints[id]
	if !ok {
		return ggscore.ModeNone
	}
	return o.groups[e.group].state.Mode(now, &o.lease)
}

// Observe updates an endpoint from its runner's report. Resident and loading adapters of the
// report become protected. Adapters that the report lacks lose their protection, unless
// their load was ordered within LoadingProtection.
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
		if now.Sub(at) > o.opts.LoadingProtection {
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

// SetCandidates sets the live dispatchers of the domain that aren't leaving. A later
// incarnation of an earlier holder proves that the earlier one has stopped.
func (o *Owners) SetCandidates(hs []ggsowner.Holder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.candidates = slices.Clone(hs)
}

// SetEndpoints sets the endpoints of the domain.
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

// SetVMs sets the platform's list of VMs. A holder counts as stopped if its VM was listed
// and then is missing for AbsenceTimeout.
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

// Status returns the status of each group.
func (o *Owners) Status(now time.Time) []GroupStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []GroupStatus
	for i := range o.groups {
		all = append(all, o.status(i, now))
	}
	return all
}

// Subscribe registers f to be called after a change of a group's status, such as its mode
// or pins. f may call any method of o.
func (o *Owners) Subscribe(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.subscribers = append(o.subscribers, f)
}

// protect updates the adapters that an owned group's record should protect. An endpoint
// without a report keeps those of the record. The caller holds o.mu.
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
			if !e.resident[a] && now.Sub(at) <= o.opts.LoadingProtection {
				want[id] = append(want[id], a)
			}
		}
	}
	if s.Protect(want) {
		o.wakeGroups()
	}
}

// wakeGroups makes runGroups serve at once the groups in which this dispatcher is involved.
func (o *Owners) wakeGroups() {
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

// hasStopped reports whether an earlier holder has certainly stopped: a later incarnation is
// a candidate, or its VM is missing from the platform's list for AbsenceTimeout. The caller
// holds o.mu.
func (o *Owners) hasStopped(h ggsowner.Holder, now time.Time) bool {
	for _, l := range o.candidates {
		if l.VM == h.VM && ggsmember.Supersedes(l.Incarnation, h.Incarnation) {
			return true
		}
	}
	at, ok := o.absent[h.VM]
	return ok && now.Sub(at) >= o.opts.AbsenceTimeout
}

// markStopped marks those earlier owners of a group that hold a Pin and whose process has stopped.
// The caller holds o.mu.
func (o *Owners) markStopped(s *ggsowner.Group, now time.Time) {
	for _, p := range s.Record().Pins {
		if o.hasStopped(p.Holder, now) {
			s.MarkStopped(p.Holder)
		}
	}
}
