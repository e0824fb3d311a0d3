package ggsplace_test

import (
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspermit"
)

// shedUnreachable is the retry-after time of an endpoint whose issuer doesn't answer.
const shedUnreachable = 1200 * time.Millisecond

// after runs f after a time.
func (s *shedSim) after(d time.Duration, f func()) {
	step := int((s.now.Sub(at(0)) + max(d, shedTick)) / shedTick)
	s.messages[step] = append(s.messages[step], f)
}

// post delivers a datagram to a VM. A VM calls itself at once.
func (s *shedSim) post(from, to ggscore.VMID, f func(*shedVM)) {
	if from == to {
		f(s.vmOf(to))
		return
	}
	if s.apart(s.vmOf(from), s.vmOf(to)) || s.loss > 0 && s.rng.Float64() < s.loss {
		return
	}
	d := time.Millisecond
	if s.vmOf(from).member.Region != s.vmOf(to).member.Region {
		d = shedRegionTrip
	}
	s.after(d, func() { f(s.vmOf(to)) })
}

func (s *shedSim) vmOf(id ggscore.VMID) *shedVM { return s.vms[s.indices[id]] }

// live returns the VMs that a VM takes for live.
func (s *shedSim) live(v *shedVM) []ggspermit.Member {
	if s.now.Before(at(shedFaultAt + shedPeerTimeout)) {
		return s.members
	}
	var ms []ggspermit.Member
	for _, o := range s.vms {
		if !s.apart(v, o) {
			ms = append(ms, o.member)
		}
	}
	return ms
}

func vmsOf(ms []ggspermit.Member) []ggscore.VMID {
	var vms []ggscore.VMID
	for _, m := range ms {
		vms = append(vms, m.VM)
	}
	return vms
}

// A shedIssuer identifies an issuer that all VMs of a domain take for that of an endpoint, while the same VMs
// are live.
type shedIssuer struct {
	endpoint  ggscore.EndpointID
	domain    ggscore.Domain
	known, on bool
}

// issuerOf returns the issuer of an endpoint's permits, as a VM knows it.
func (s *shedSim) issuerOf(v *shedVM, id ggscore.EndpointID) ggscore.VMID {
	since := s.now.Sub(at(shedFaultAt))
	k := shedIssuer{endpoint: id, domain: v.member.Domain, known: since >= shedPeerTimeout, on: since < shedFaultTime}
	issuer, ok := s.issuers[k]
	if !ok {
		d := s.endpoints[id].Domain
		issuer = ggspermit.IssuerOf(id, d, ggscore.Region(d), s.live(v))
		s.issuers[k] = issuer
	}
	return issuer
}

// ask asks for a permit for a request.
func (s *shedSim) ask(q *shedRequest) {
	v, issuer := q.vm, s.issuerOf(q.vm, q.to.ID)
	v.asks[q.permit] = q
	v.holder.Asked(s.now, q.permit, issuer)
	v.table.PermitAsked(q.to.ID)
	a := ggscore.PermitAsk{ID: q.permit, Endpoint: q.to.ID, MaxWait: shedPermitWait}
	s.post(v.member.VM, issuer, func(o *shedVM) { s.receiveAsk(o, a) })
	s.after(shedPermitWait+shedAskTimeout, func() {
		if v.asks[a.ID] != nil && !v.down {
			s.decided(v, ggscore.PermitDecision{ID: a.ID, Endpoint: a.Endpoint, RetryAfter: shedUnreachable})
		}
	})
}

// receiveAsk has a VM process an ask.
func (s *shedSim) receiveAsk(v *shedVM, a ggscore.PermitAsk) {
	if s.issuerOf(v, a.Endpoint) != v.member.VM {
		s.decide(v, []ggscore.PermitDecision{{ID: a.ID, Endpoint: a.Endpoint, Outcome: ggscore.PermitMisdirected, RetryAfter: shedUnreachable}})
		return
	}
	s.decide(v, v.issuer.Ask(s.now, a))
}

// decide sends an issuer's decisions.
func (s *shedSim) decide(issuer *shedVM, ds []ggscore.PermitDecision) {
	for _, d := range ds {
		s.post(issuer.member.VM, d.ID.VM, func(v *shedVM) { s.decided(v, d) })
	}
}

// decided processes a decision on an ask of a VM.
func (s *shedSim) decided(v *shedVM, d ggscore.PermitDecision) {
	q := v.asks[d.ID]
	switch {
	case d.Outcome == ggscore.PermitWaiting:
		return
	case q == nil && d.Outcome == ggscore.PermitGranted:
		s.post(v.member.VM, s.issuerOf(v, d.Endpoint), func(o *shedVM) {
			s.decide(o, o.issuer.Release(s.now, ggscore.PermitRelease{ID: d.ID, Endpoint: d.Endpoint}))
		})
		return
	case q == nil:
		return
	}
	delete(v.asks, d.ID)
	v.table.PermitDecided(d.Endpoint)
	if d.Outcome == ggscore.PermitGranted {
		s.dispatch(q)
		return
	}
	v.table.RecordSaturated(s.now, d.Endpoint, ggspermit.AskAgainAfter(d))
	s.release(q)
	s.send(q)
}

// release releases a request's permit.
func (s *shedSim) release(q *shedRequest) {
	issuer := q.vm.holder.End(s.now, q.permit)
	if issuer == "" {
		return
	}
	r := ggscore.PermitRelease{ID: q.permit, Endpoint: q.to.ID, Rejected: q.rejected}
	s.post(q.vm.member.VM, issuer, func(o *shedVM) { s.decide(o, o.issuer.Release(s.now, r)) })
}

// renewPermits has each VM renew its permits and check those that it issues.
func (s *shedSim) renewPermits() {
	for _, v := range s.vms {
		if v.down {
			continue
		}
		v.issuer.SetLive(s.now, vmsOf(s.live(v)))
		s.decide(v, v.issuer.Tick(s.now))
		rs := v.holder.Renewals(s.now, func(id ggscore.EndpointID) ggscore.VMID {
			if !v.limits.ShedLimited(s.now, plain) {
				return ""
			}
			return s.issuerOf(v, id)
		})
		for _, r := range rs {
			s.post(v.member.VM, r.Issuer, func(o *shedVM) { s.decide(o, o.issuer.Renew(s.now, r.PermitRenewal)) })
		}
	}
}
