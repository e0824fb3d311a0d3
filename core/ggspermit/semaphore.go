package ggspermit

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// holdSmoothing is the weight of the last permit in the mean time that permits are held.
	holdSmoothing = 0.1
	// minRetryAfter and maxRetryAfter bound the retry-after time of a refusal.
	minRetryAfter = 5 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// idleTime is the time without permits and asks after which a semaphore is dropped.
	idleTime = 30 * time.Second
)

// A semaphore counts the requests in flight at one endpoint.
type semaphore struct {
	id      ggscore.EndpointID
	slots   int
	permits map[ggscore.PermitID]*permit
	// adopted is the number of permits that this VM didn't grant.
	adopted int
	// unattributed is the number of requests that were in flight when this VM became the issuer, as
	// reported by the VMs. It counts until recoveredAt, in place of the adopted permits if it is greater.
	unattributed int
	recoveredAt  time.Time
	// waiting are sorted by priority, then by arrival.
	waiting []waitingAsk
	// hold is the mean time that permits are held, zero for unknown.
	hold time.Duration
	// limit is the number of permits that may be granted, as of limitSet. It rises with time.
	limit    float64
	limitSet time.Time
	lastUsed time.Time
}

type permit struct {
	grantedAt time.Time
	expires   time.Time
	adopted   bool
}

type waitingAsk struct {
	ggscore.PermitAsk
	until time.Time
}

func newSemaphore(now time.Time, id ggscore.EndpointID, slots int) *semaphore {
	return &semaphore{
		id: id, slots: slots, permits: map[ggscore.PermitID]*permit{}, limit: float64(slots), limitSet: now, lastUsed: now,
	}
}

// limitAt returns the number of permits that may be granted, at least one.
func (m *semaphore) limitAt(now time.Time) float64 {
	risen := m.limit + limitRecovery*float64(m.slots)*now.Sub(m.limitSet).Seconds()
	return min(max(risen, 1), float64(m.slots))
}

// lower lowers the limit.
func (m *semaphore) lower(now time.Time, limit float64) {
	m.limit, m.limitSet = min(limit, m.limitAt(now)), now
}

// inUse returns the number of slots that are taken.
func (m *semaphore) inUse(now time.Time) int {
	if !now.Before(m.recoveredAt) {
		return len(m.permits)
	}
	return len(m.permits) - m.adopted + max(m.adopted, m.unattributed)
}

func (m *semaphore) free(now time.Time) bool { return m.inUse(now) < int(m.limitAt(now)) }

// ask grants a permit, has the ask wait, or refuses it if no slot will be free in time.
func (m *semaphore) ask(now time.Time, a ggscore.PermitAsk) []ggscore.PermitDecision {
	m.lastUsed = now
	ds := m.advance(now)
	if m.permits[a.ID] != nil {
		// The decision was lost.
		return append(ds, m.decision(a.ID, ggscore.PermitGranted))
	}
	if slices.ContainsFunc(m.waiting, func(w waitingAsk) bool { return w.ID == a.ID }) {
		return append(ds, m.decision(a.ID, ggscore.PermitWaiting))
	}
	if m.free(now) {
		return append(ds, m.grant(now, a.ID))
	}
	at, _ := slices.BinarySearchFunc(m.waiting, a.Priority, func(w waitingAsk, p ggscore.Priority) int {
		return cmp.Or(cmp.Compare(w.Priority, p), -1)
	})
	if len(m.waiting) >= m.slots || m.expectedWait(now, at) > a.MaxWait {
		return append(ds, m.refusal(now, a.ID))
	}
	m.waiting = slices.Insert(m.waiting, at, waitingAsk{PermitAsk: a, until: now.Add(a.MaxWait)})
	return append(ds, m.decision(a.ID, ggscore.PermitWaiting))
}

// expectedWait returns the time until a slot is free for an ask behind the given number of others.
func (m *semaphore) expectedWait(now time.Time, ahead int) time.Duration {
	return time.Duration(float64(m.hold) * float64(ahead+1) / m.limitAt(now))
}

func (m *semaphore) decision(id ggscore.PermitID, o ggscore.PermitOutcome) ggscore.PermitDecision {
	return ggscore.PermitDecision{ID: id, Endpoint: m.id, Outcome: o}
}

func (m *semaphore) refusal(now time.Time, id ggscore.PermitID) ggscore.PermitDecision {
	d := m.decision(id, ggscore.PermitRefused)
	d.RetryAfter = min(max(m.expectedWait(now, len(m.waiting)), minRetryAfter), maxRetryAfter)
	return d
}

func (m *semaphore) grant(now time.Time, id ggscore.PermitID) ggscore.PermitDecision {
	m.permits[id] = &permit{grantedAt: now, expires: now.Add(PermitTTL)}
	return m.decision(id, ggscore.PermitGranted)
}

// renew extends a permit, or adopts a request whose permit this VM didn't grant.
func (m *semaphore) renew(now time.Time, id ggscore.PermitID) {
	m.lastUsed = now
	p := m.permits[id]
	if p == nil {
		p = &permit{grantedAt: now, adopted: true}
		m.permits[id] = p
		m.adopted++
	}
	p.expires = now.Add(PermitTTL)
}

// settle ends the permits and asks of a VM's requests that have ended, as their releases may have been lost.
func (m *semaphore) settle(r ggscore.PermitRenewal) {
	ended := func(id ggscore.PermitID) bool {
		return id.VM == r.VM && id.Number <= r.Through && !slices.Contains(r.InFlight, id.Number) && !slices.Contains(r.Asking, id.Number)
	}
	for id := range m.permits {
		if ended(id) {
			m.remove(id)
		}
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(w waitingAsk) bool { return ended(w.ID) })
}

// release ends a permit or an ask.
func (m *semaphore) release(now time.Time, r ggscore.PermitRelease) []ggscore.PermitDecision {
	m.lastUsed = now
	if r.Rejected {
		m.lower(now, rejectionFactor*float64(min(m.inUse(now), m.slots)))
	}
	p := m.permits[r.ID]
	waiting := len(m.waiting)
	m.waiting = slices.DeleteFunc(m.waiting, func(w waitingAsk) bool { return w.ID == r.ID })
	switch {
	case p != nil && !p.adopted:
		m.recordHold(now.Sub(p.grantedAt))
	case p != nil || waiting == len(m.waiting):
		// One of the requests that were in flight before this VM issued permits has ended.
		m.unattributed--
	}
	m.remove(r.ID)
	return m.advance(now)
}

// lose shortens the permits of VMs that were lost.
func (m *semaphore) lose(now time.Time, vms map[ggscore.VMID]bool) {
	until := now.Add(lostTTL)
	for id, p := range m.permits {
		if vms[id.VM] && until.Before(p.expires) {
			p.expires = until
		}
	}
}

func (m *semaphore) recordHold(d time.Duration) {
	if m.hold == 0 {
		m.hold = d
		return
	}
	m.hold += time.Duration(holdSmoothing * float64(d-m.hold))
}

func (m *semaphore) remove(id ggscore.PermitID) {
	p := m.permits[id]
	if p == nil {
		return
	}
	if p.adopted {
		m.adopted--
	}
	delete(m.permits, id)
}

// advance drops expired permits and asks, and grants permits to waiting asks.
func (m *semaphore) advance(now time.Time) []ggscore.PermitDecision {
	for id, p := range m.permits {
		if !now.Before(p.expires) {
			m.remove(id)
		}
	}
	var ds []ggscore.PermitDecision
	m.waiting = slices.DeleteFunc(m.waiting, func(w waitingAsk) bool {
		if now.Before(w.until) {
			return false
		}
		ds = append(ds, m.refusal(now, w.ID))
		return true
	})
	for len(m.waiting) > 0 && m.free(now) {
		ds = append(ds, m.grant(now, m.waiting[0].ID))
		m.waiting = slices.Delete(m.waiting, 0, 1)
	}
	return ds
}

// idle reports whether the semaphore has not been used for idleTime.
func (m *semaphore) idle(now time.Time) bool {
	return len(m.permits) == 0 && len(m.waiting) == 0 && now.Sub(m.lastUsed) > idleTime
}
