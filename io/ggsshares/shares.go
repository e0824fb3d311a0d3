package ggsshares

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsshare"
)

// Shares keeps one VM's share of the weight store's limits. It is safe for
// concurrent use.
type Shares struct {
	store   ggscore.Store
	clock   func() time.Time
	options Options
	log     log.Logger
	wake    chan struct{}

	// mu guards all below.
	mu sync.Mutex
	// state is nil until there is a plan.
	state *ggsshare.State
	// waiting are the orders that nobody has begun.
	waiting []ggsshare.Order
	last    ggscore.LoadShare
	notify  []func()
}

// New returns a Shares without a plan: its share is nothing. The clock's times
// carry monotonic readings.
func New(s ggscore.Store, clock func() time.Time, o Options, l log.Logger) *Shares {
	return &Shares{store: s, clock: clock, options: o, log: l, wake: make(chan struct{}, 1)}
}

// SetDemand sets the number of units that the group could use now.
func (s *Shares) SetDemand(units int) {
	s.step(func(now time.Time) []ggsshare.Order {
		return s.state.SetDemand(now, units)
	})
}

// SetLease takes the VM's lease, new, renewed or zero where it isn't held.
// Expires is to be less the longest time that a load may take.
func (s *Shares) SetLease(id ggscore.LeaseID, expires time.Time) {
	s.step(func(time.Time) []ggsshare.Order {
		s.state.SetLease(ggsshare.Lease{ID: id, Expires: expires})
		return nil
	})
}

// SetOwner says whether the VM owns its group's endpoints.
func (s *Shares) SetOwner(owner bool) {
	s.step(func(time.Time) []ggsshare.Order {
		s.state.SetOwner(owner)
		return nil
	})
}

// SetPlan takes the plan and the group's number in it. Other inputs are passed
// over until there is a plan.
//
// The first number stays for good: a state begun anew would not know which
// units it has given up, and would use them again although a late delete may
// take them away. A group whose number is too great for a later plan has no
// static units and borrows all.
func (s *Shares) SetPlan(group int, p ggsshare.Plan) {
	s.mu.Lock()
	if s.state == nil {
		s.state = ggsshare.New(ggsshare.Options{Self: s.options.Self, Group: group, Seed: s.options.Seed})
	}
	s.mu.Unlock()
	s.step(func(now time.Time) []ggsshare.Order {
		s.state.SetPlan(now, p)
		return nil
	})
}

// Share returns what the group may use now. It is to be asked right before
// each load, and not kept.
func (s *Shares) Share(now time.Time) ggscore.LoadShare {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return ggscore.LoadShare{}
	}
	return s.state.Share(now)
}

// Subscribe has f called after the share has changed, from any goroutine. f may
// call any method.
func (s *Shares) Subscribe(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify = append(s.notify, f)
}

// step passes an event to the state, keeps its orders and tells of a changed
// share. The lock is held while f runs.
func (s *Shares) step(f func(now time.Time) []ggsshare.Order) {
	s.mu.Lock()
	if s.state == nil {
		s.mu.Unlock()
		return
	}
	now := s.clock()
	orders := f(now)
	s.waiting = append(s.waiting, orders...)
	share := s.state.Share(now)
	changed := share != s.last
	s.last = share
	notify := s.notify
	s.mu.Unlock()
	if len(orders) > 0 {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	if !changed {
		return
	}
	_ = level.Debug(s.log).Log("event", "loadShareChanged", "inTransit", share.InTransit, "loadsPerSecond", share.LoadsPerSecond)
	for _, n := range notify {
		n()
	}
}
