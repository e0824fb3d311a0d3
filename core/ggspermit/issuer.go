package ggspermit

import (
	"time"

	ggscore "greengageslip/core"
)

const (
	// PermitTTL is how long a permit is valid after it was granted or renewed.
	PermitTTL = 10 * time.Second
	// RenewInterval is the time between renewals of a permit. Streams hold a slot for several seconds.
	RenewInterval = 4 * time.Second
	// lostTTL is how long the permits of a VM are valid after it was lost. Its requests end at the
	// endpoint if it has failed.
	lostTTL = 3 * time.Second
	// recoveryTime is the time after which a new issuer has received a renewal of each request in
	// flight, also if a datagram is lost.
	recoveryTime = 1500 * time.Millisecond
	// maxReportWait is how long a new issuer waits for VMs' reports of their requests in flight.
	maxReportWait = 500 * time.Millisecond
	// rejectionFactor lowers an endpoint's limit after it refused a request that has a permit.
	rejectionFactor = 0.75
	// limitRecovery is the share of an endpoint's slots by which a lowered limit rises in a second.
	limitRecovery = 1.0 / 8
)

// An Issuer issues permits for endpoints.
type Issuer struct {
	counter    ggscore.InFlightCounter
	slots      map[ggscore.EndpointID]int
	semaphores map[ggscore.EndpointID]*semaphore
	live       map[ggscore.VMID]bool
}

// NewIssuer returns an Issuer that knows no endpoints. The counter counts the requests in flight at
// endpoints for which it begins to issue permits.
func NewIssuer(c ggscore.InFlightCounter) *Issuer {
	return &Issuer{counter: c, slots: map[ggscore.EndpointID]int{}, semaphores: map[ggscore.EndpointID]*semaphore{}}
}

// SetInstances sets the endpoints that exist.
func (s *Issuer) SetInstances(list []ggscore.Instance) {
	s.slots = make(map[ggscore.EndpointID]int, len(list))
	for n := range list {
		s.slots[list[n].ID] = list[n].Slots
	}
	for id, m := range s.semaphores {
		if s.slots[id] <= 0 {
			delete(s.semaphores, id)
			continue
		}
		m.slots = s.slots[id]
	}
}

// SetLive sets the live VMs, this one included. VMs that are lost may still send requests, with permits of
// another issuer.
func (s *Issuer) SetLive(now time.Time, vms []ggscore.VMID) {
	live := make(map[ggscore.VMID]bool, len(vms))
	for _, vm := range vms {
		live[vm] = true
	}
	lost := map[ggscore.VMID]bool{}
	for vm := range s.live {
		if !live[vm] {
			lost[vm] = true
		}
	}
	if len(lost) > 0 {
		for _, m := range s.semaphores {
			m.lose(now, lost)
			m.lower(now, m.limitAt(now)*(1-float64(len(lost))/float64(len(s.live))))
		}
	}
	s.live = live
}

// Ask processes an ask. The ask's own decision is among the returned ones.
func (s *Issuer) Ask(now time.Time, a ggscore.PermitAsk) []ggscore.PermitDecision {
	m := s.semaphore(now, a.Endpoint)
	if m == nil {
		return []ggscore.PermitDecision{{ID: a.ID, Endpoint: a.Endpoint, Outcome: ggscore.PermitMisdirected}}
	}
	return m.ask(now, a)
}

// Release processes a release, and returns decisions on waiting asks.
func (s *Issuer) Release(now time.Time, r ggscore.PermitRelease) []ggscore.PermitDecision {
	m := s.semaphores[r.Endpoint]
	if m == nil {
		return nil
	}
	return m.release(now, r)
}

// Renew processes a renewal, and returns decisions on waiting asks.
func (s *Issuer) Renew(now time.Time, r ggscore.PermitRenewal) []ggscore.PermitDecision {
	m := s.semaphore(now, r.Endpoint)
	if m == nil {
		return nil
	}
	m.settle(r)
	for _, n := range r.InFlight {
		m.renew(now, ggscore.PermitID{VM: r.VM, Number: n})
	}
	return m.advance(now)
}

// Tick drops expired permits and asks, and returns decisions on waiting asks. A semaphore without any is
// dropped.
func (s *Issuer) Tick(now time.Time) []ggscore.PermitDecision {
	var ds []ggscore.PermitDecision
	for id, m := range s.semaphores {
		ds = append(ds, m.advance(now)...)
		if m.idle(now) {
			delete(s.semaphores, id)
		}
	}
	return ds
}

// semaphore returns the semaphore of an endpoint, nil for an unknown one.
func (s *Issuer) semaphore(now time.Time, id ggscore.EndpointID) *semaphore {
	if m := s.semaphores[id]; m != nil {
		return m
	}
	slots := s.slots[id]
	if slots <= 0 {
		return nil
	}
	m := newSemaphore(now, id, slots)
	if n, known := s.counter.InFlight(id); known {
		m.unattributed, m.recoveredAt = n, now.Add(recoveryTime)
	} else {
		m.unattributed, m.recoveredAt = slots, now.Add(maxReportWait)
	}
	s.semaphores[id] = m
	return m
}

// Active reports whether permits are issued for any endpoint.
func (s *Issuer) Active() bool { return len(s.semaphores) > 0 }

// An EndpointPermits is the state of the permits of an endpoint.
type EndpointPermits struct {
	Endpoint ggscore.EndpointID
	// Limit is the number of permits that may be granted, Granted the number of those that are, and
	// Waiting the number of asks that wait.
	Limit, Granted, Waiting int
}

// State returns the state of the endpoints for which permits are issued, in no order.
func (s *Issuer) State(now time.Time) []EndpointPermits {
	var l []EndpointPermits
	for id, m := range s.semaphores {
		l = append(l, EndpointPermits{Endpoint: id, Limit: int(m.limitAt(now)), Granted: m.inUse(now), Waiting: len(m.waiting)})
	}
	return l
}
