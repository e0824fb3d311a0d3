package ggsnode

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsfleet"
	"greengageslip/core/ggsmember"
	"greengageslip/core/ggsowner"
	"greengageslip/io/ggsdispatch"
)

// ownershipCheckInterval is the interval at which the ownership is read in addition to its change
// events.
const ownershipCheckInterval = time.Second

// An endpointUpdater keeps a dispatcher's endpoints up to date with the list of VMs, the document
// and the ownership.
type endpointUpdater struct {
	parts   dispatcherParts
	changed chan struct{}
	share   ggscore.LoadShare
	log     log.Logger
	// leaving reports whether the endpoints have been handed over.
	leaving bool
}

func newEndpointUpdater(p dispatcherParts, l log.Logger) *endpointUpdater {
	e := &endpointUpdater{parts: p, log: l, changed: make(chan struct{}, 1)}
	p.VMs.Subscribe(func(vms []ggscore.VM) {
		p.Heartbeats.SetListed(vms)
		p.Owners.SetVMs(p.Clock(), vms)
		e.signalChange()
	})
	p.Owners.Subscribe(e.signalChange)
	p.Heartbeats.Subscribe(e.signalChange)
	return e
}

func (e *endpointUpdater) run(ctx context.Context) error {
	documents := e.parts.Document.Subscribe(ctx)
	t := time.NewTicker(ownershipCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-documents:
			e.applyDocument(d)
		case <-e.changed:
		case <-t.C:
		}
		e.update()
		if !e.leaving && e.listedLeaving() {
			e.leaving = true
			_ = level.Info(e.log).Log("event", "listedLeaving")
			e.parts.handOver(ctx, e.log)
		}
	}
}

// listedLeaving reports whether the platform lists this VM as leaving.
//
// Gateways send no requests to a dispatcher listed as leaving. The dispatcher may stop minutes
// later, and endpoints that it kept would get no requests meanwhile. The dispatcher therefore hands
// its endpoints over at once and only finishes the requests in progress.
func (e *endpointUpdater) listedLeaving() bool {
	vms, _ := e.parts.VMs.List()
	return slices.ContainsFunc(vms, func(v ggscore.VM) bool {
		return v.ID == e.parts.Settings.VM && v.Role == ggscore.RoleEntry && v.State == ggscore.VMLeaving
	})
}

// applyDocument sets the scheduler's markets and policy from a new document.
func (e *endpointUpdater) applyDocument(d *ggscore.Document) {
	e.parts.Dispatcher.Schedule(func(_ ggscore.Scheduler, now time.Time) []ggscore.Order {
		s := e.parts.Scheduler
		s.SetMarkets(marketWeights(d))
		return s.SetPolicy(now, d.Policy)
	})
}

// update passes the current endpoints, owner candidates and load share to the ownership and the
// dispatcher.
func (e *endpointUpdater) update() {
	p := &e.parts
	p.Heartbeats.SetSelf(false, p.Document.Head().Revision)
	d := p.Document.Current()
	vms, known := p.VMs.List()
	p.Owners.SetCandidates(ownerCandidates(p.Heartbeats.Members(), vms))
	if d == nil || !known {
		return
	}
	es := ggsfleet.Endpoints(vms, d, p.Settings.Domain)
	ids := make([]ggscore.EndpointID, 0, len(es))
	for i := range es {
		ids = append(ids, es[i].ID)
	}
	p.Owners.SetEndpoints(ids)
	owned := make([]ggsdispatch.OwnedEndpoint, 0, len(es))
	for i := range es {
		owned = append(owned, e.ownedEndpoint(&es[i]))
	}
	e.setShare(loadShareOf(vms, d))
	p.Dispatcher.SetEndpoints(owned)
}

// ownedEndpoint returns an endpoint with its present mode and pins.
func (e *endpointUpdater) ownedEndpoint(n *ggscore.Endpoint) ggsdispatch.OwnedEndpoint {
	p := &e.parts
	o := ggsdispatch.OwnedEndpoint{Endpoint: *n, Mode: p.Owners.Mode(p.Clock(), n.ID), Pins: p.Owners.Pins(n.ID)}
	if o.Mode == ggscore.ModeResidentOnly {
		o.Pins = e.servableAdapters(n)
	}
	return o
}

// servableAdapters returns the adapters that an endpoint serves while its owner's lease is not
// confirmed: the resident adapters that the owner's record protects.
//
// In ModeResidentOnly the scheduler serves only the adapters that it is given as protected. If it
// were given only the pins of earlier owners, it would refuse all requests for other adapters
// after the platform has been unavailable for longer than the lease.
func (e *endpointUpdater) servableAdapters(n *ggscore.Endpoint) []ggscore.AdapterRef {
	if n.Kind == ggscore.KindPlain {
		return []ggscore.AdapterRef{{}}
	}
	p := &e.parts
	refs := slices.DeleteFunc(p.Dispatcher.Resident(n.ID), func(a ggscore.AdapterRef) bool {
		_, err := p.Owners.Check(p.Clock(), n.ID, a, ggscore.OrderDispatch)
		return err != nil
	})
	slices.SortFunc(refs, func(a, b ggscore.AdapterRef) int { return cmp.Compare(a.String(), b.String()) })
	return refs
}

func (e *endpointUpdater) signalChange() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func marketWeights(d *ggscore.Document) map[ggscore.Market]int {
	w := make(map[ggscore.Market]int, len(d.Markets))
	for n, m := range d.Markets {
		w[n] = m.Weight
	}
	return w
}

// setShare sets the share of the weight store's limits. The share is set before the endpoints,
// since nothing is loaded without a share.
func (e *endpointUpdater) setShare(h ggscore.LoadShare) {
	if h == e.share {
		return
	}
	e.share = h
	e.parts.Dispatcher.Schedule(func(s ggscore.Scheduler, now time.Time) []ggscore.Order {
		return s.SetLoadShare(now, h)
	})
}

// loadShareOf returns a domain's equal share of the weight store's limits. The sum of the shares
// doesn't exceed the limits under any network partition.
func loadShareOf(vms []ggscore.VM, d *ggscore.Document) ggscore.LoadShare {
	domains := make(map[ggscore.Domain]bool)
	for i := range vms {
		if vms[i].Role == ggscore.RoleEndpoint {
			domains[vms[i].Domain] = true
		}
	}
	n := len(domains)
	if n == 0 {
		return ggscore.LoadShare{}
	}
	return ggscore.LoadShare{
		LoadsPerSecond: d.Policy.LoadsPerSecond / float64(n),
		InTransit:      max(d.Policy.LoadsInTransit/n, 1),
	}
}

// ownerCandidates returns the live dispatchers that may own endpoints.
//
// Gateways know dispatchers by the platform's list, which lags behind heartbeats. A dispatcher that
// took over endpoints before it is listed would make them unreachable for gateways, so it is left
// out until then.
func ownerCandidates(ms []ggsmember.Member, vms []ggscore.VM) []ggsowner.Holder {
	listed := make(map[ggscore.VMID]bool, len(vms))
	for i := range vms {
		listed[vms[i].ID] = vms[i].Role == ggscore.RoleEntry
	}
	hs := make([]ggsowner.Holder, 0, len(ms))
	for _, m := range ms {
		if !m.Leaving && m.Incarnation != "" && listed[m.VM] {
			hs = append(hs, ggsowner.Holder{VM: m.VM, Incarnation: m.Incarnation})
		}
	}
	return hs
}
