package ggsassign

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

const (
	// replaceAfter is how long a model has no runner before a runner of another model takes it. It covers the restart of a
	// crashed runner, and the time in which entries that lapsed while the store was unreachable come back.
	replaceAfter = 10 * time.Second
	// maxDecisionGap is the time between two decisions after which it isn't known that a model had no runner in between.
	maxDecisionGap = 5 * time.Second
)

// A Runner is what is known of a runner that isn't leaving.
type Runner struct {
	ID     ggscore.EndpointID
	Models []ggscore.BaseModel
	// InFlight is the number of requests in flight there.
	InFlight int
	// Loadable is set if the runner has an owner that can send it orders.
	Loadable bool
}

// An Order is what a runner is to unload and then to load. Unload is empty if both fit, or if there is nothing to unload.
type Order struct {
	Unload, Load ggscore.BaseModel
}

// A Table knows since when models have no runner, and since when runners hold no model of their service.
type Table struct {
	services map[ggscore.Service]*service
}

type service struct {
	decidedAt time.Time
	// missing has the models without a runner, and useless the runners without a model of the service.
	missing map[ggscore.BaseModel]time.Time
	useless map[ggscore.EndpointID]time.Time
}

// NewTable returns a Table that knows no service.
func NewTable() *Table { return &Table{services: map[ggscore.Service]*service{}} }

// Decide returns the orders of a service's runners.
func (t *Table) Decide(now time.Time, name ggscore.Service, e *ggscore.EngineSpec, runners []Runner) map[ggscore.EndpointID]Order {
	s := t.services[name]
	if s == nil || now.Sub(s.decidedAt) > maxDecisionGap {
		s = &service{missing: map[ggscore.BaseModel]time.Time{}, useless: map[ggscore.EndpointID]time.Time{}}
		t.services[name] = s
	}
	s.decidedAt = now
	d := newDecision(e, runners)
	s.observe(now, d)
	d.fillEmpty(now, s)
	d.replace(now, s)
	return d.orders
}

// observe updates since when models have no runner, and runners no model.
func (s *service) observe(now time.Time, d *decision) {
	missing, useless := map[ggscore.BaseModel]time.Time{}, map[ggscore.EndpointID]time.Time{}
	for i := range d.engine.Models {
		if m := d.engine.Models[i].Name; d.holders[m] == 0 {
			missing[m] = earlier(now, s.missing[m])
		}
	}
	for _, r := range d.runners {
		if d.useless(r) {
			useless[r.ID] = earlier(now, s.useless[r.ID])
		}
	}
	s.missing, s.useless = missing, useless
}

// earlier returns since, or now if since is zero.
func earlier(now, since time.Time) time.Time {
	if since.IsZero() {
		return now
	}
	return since
}

// due reports whether a state that began at a time, zero for never, has lasted for replaceAfter.
func due(now, since time.Time) bool { return !since.IsZero() && now.Sub(since) >= replaceAfter }

// A decision has the state of a service's runners, with the orders decided so far applied.
type decision struct {
	engine  *ggscore.EngineSpec
	runners []Runner
	// holders counts the runners of each model, and inFlight the requests there.
	holders  map[ggscore.BaseModel]int
	inFlight map[ggscore.BaseModel]int
	orders   map[ggscore.EndpointID]Order
}

func newDecision(e *ggscore.EngineSpec, runners []Runner) *decision {
	d := &decision{
		engine: e, runners: slices.Clone(runners), holders: map[ggscore.BaseModel]int{}, inFlight: map[ggscore.BaseModel]int{},
		orders: map[ggscore.EndpointID]Order{},
	}
	slices.SortFunc(d.runners, func(a, b Runner) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range d.runners {
		for _, m := range r.Models {
			d.holders[m]++
			d.inFlight[m] += r.InFlight
		}
	}
	return d
}

// useless reports whether a runner holds models, but none of its service's.
func (d *decision) useless(r Runner) bool {
	return len(r.Models) > 0 && !slices.ContainsFunc(r.Models, d.serves)
}

// serves reports whether a model is one of the service's.
func (d *decision) serves(m ggscore.BaseModel) bool {
	return slices.ContainsFunc(d.engine.Models, func(s ggscore.ModelSpec) bool { return s.Name == m })
}

// fillEmpty assigns models to runners that hold none, and to those that have been useless for long.
func (d *decision) fillEmpty(now time.Time, s *service) {
	for _, r := range d.runners {
		if !r.Loadable || len(r.Models) > 0 && !due(now, s.useless[r.ID]) {
			continue
		}
		m := d.neediest()
		if m == "" {
			return
		}
		o := Order{Load: m}
		if !d.engine.Fits(m, r.Models, 0) {
			o.Unload = r.Models[0]
		}
		d.orders[r.ID] = o
		d.holders[m]++
	}
}

// neediest returns the model that the next empty runner loads, empty if the service has none.
func (d *decision) neediest() ggscore.BaseModel {
	var best ggscore.BaseModel
	for i := range d.engine.Models {
		m := d.engine.Models[i].Name
		if best == "" || d.needsMore(m, best) {
			best = m
		}
	}
	return best
}

// needsMore reports whether a model needs another runner more than one that is listed before it.
func (d *decision) needsMore(m, before ggscore.BaseModel) bool {
	a, b := d.holders[m], d.holders[before]
	if a == 0 || b == 0 {
		return a == 0 && b > 0
	}
	return d.inFlight[m]*b > d.inFlight[before]*a
}

// replace has runners of models that several runners hold take the models that have been without a runner for long.
func (d *decision) replace(now time.Time, s *service) {
	for i := range d.engine.Models {
		m := d.engine.Models[i].Name
		if d.holders[m] > 0 || !due(now, s.missing[m]) {
			continue
		}
		if id, o := d.donor(m); id != "" {
			d.orders[id] = o
			d.holders[m]++
			d.holders[o.Unload]--
		}
	}
}

// donor returns the runner that takes a model, and its order: one that has memory for both models, even if all its slots for adapters are
// taken, or else one of the most common model. It returns an empty ID if there is none.
func (d *decision) donor(m ggscore.BaseModel) (ggscore.EndpointID, Order) {
	var best *Runner
	var order Order
	var bestScore [3]uint64
	for i := range d.runners {
		r := &d.runners[i]
		_, ordered := d.orders[r.ID]
		if ordered || !r.Loadable || len(r.Models) == 0 {
			continue
		}
		o := Order{Load: m}
		score := [3]uint64{1, 0, xxhash.Sum64String(string(m) + " " + string(r.ID))}
		if !d.engine.Fits(m, r.Models, d.engine.AdapterSlots) {
			n := d.holders[r.Models[0]]
			if len(r.Models) > 1 || n < 2 {
				continue
			}
			o.Unload = r.Models[0]
			score[0], score[1] = 0, uint64(n) //nolint:gosec // positive
		}
		if best == nil || slices.Compare(score[:], bestScore[:]) > 0 {
			best, order, bestScore = r, o, score
		}
	}
	if best == nil {
		return "", Order{}
	}
	return best.ID, order
}
