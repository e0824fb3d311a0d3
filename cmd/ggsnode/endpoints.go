package ggsnode

import (
	"context"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsfleet"
)

// endpointsInterval is how often changes of ownership are looked for besides
// the events.
const endpointsInterval = 200 * time.Millisecond

// An endpoints keeps a dispatcher's endpoints up to date with the list of VMs,
// the document and the ownership.
type endpoints struct {
	parts   dispatcherParts
	changed chan struct{}
}

func newEndpoints(p dispatcherParts) *endpoints {
	e := &endpoints{parts: p, changed: make(chan struct{}, 1)}
	p.VMs.Subscribe(func([]ggscore.VM) { e.wake() })
	p.Owner.mode = e.mode
	return e
}

func (e *endpoints) mode() ggscore.OwnerMode {
	vms, _ := e.parts.VMs.List()
	for _, v := range ggsfleet.Dispatchers(vms) {
		if v.Domain == e.parts.Settings.Domain && v.State == ggscore.VMLive {
			if v.ID == e.parts.Settings.VM {
				return ggscore.ModeFull
			}
			break
		}
	}
	return ggscore.ModeNone
}

func (e *endpoints) run(ctx context.Context) error {
	documents := e.parts.Document.Subscribe(ctx)
	t := time.NewTicker(endpointsInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-documents:
			e.adopt(d)
		case <-e.changed:
		case <-t.C:
		}
		e.set()
	}
}

// adopt brings the scheduler up to a new document.
func (e *endpoints) adopt(d *ggscore.Document) {
	e.parts.Dispatcher.Schedule(func(_ ggscore.Scheduler, now time.Time) []ggscore.Order {
		s := e.parts.Scheduler
		s.SetMarkets(weightsOf(d))
		return append(s.SetPolicy(now, d.Policy), s.SetLoadShare(now, e.share(d))...)
	})
}

func (e *endpoints) set() {
	d := e.parts.Document.Current()
	vms, known := e.parts.VMs.List()
	if d == nil || !known {
		return
	}
	m := e.mode()
	e.parts.Dispatcher.SetEndpoints(ggsfleet.Endpoints(vms, d, e.parts.Settings.Domain),
		func(ggscore.EndpointID) ggscore.OwnerMode { return m })
}

func (e *endpoints) wake() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func weightsOf(d *ggscore.Document) map[ggscore.Market]int {
	w := make(map[ggscore.Market]int, len(d.Markets))
	for n, m := range d.Markets {
		w[n] = m.Weight
	}
	return w
}

// share is this domain's equal share of the weight store's limits. The shares'
// sum never passes them, whoever is cut off from whom.
func (e *endpoints) share(d *ggscore.Document) ggscore.LoadShare {
	vms, _ := e.parts.VMs.List()
	domains := make(map[ggscore.Domain]bool)
	for i := range vms {
		if vms[i].Role == ggscore.RoleEndpoint {
			domains[vms[i].Domain] = true
		}
	}
	n := max(len(domains), 1)
	return ggscore.LoadShare{
		LoadsPerSecond: d.Policy.LoadsPerSecond / float64(n),
		InTransit:      max(d.Policy.LoadsInTransit/n, 1),
	}
}
