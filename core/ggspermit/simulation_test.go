package ggspermit_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspermit"
)

const (
	simVMs   = 4
	simSlots = 3
	simStep  = 100 * time.Millisecond
)

// A simVM is a VM that asks for permits of one endpoint.
type simVM struct {
	holder *ggspermit.Holder
	asks   map[ggscore.PermitID]bool
	sent   map[ggscore.PermitID]bool
}

// A sim exchanges the messages of VMs and one issuer in any order. Asks, decisions and releases may be lost
// or doubled, renewals arrive.
type sim struct {
	now      time.Time
	issuer   *ggspermit.Issuer
	vms      []*simVM
	messages []func()
}

func newPermitSim() *sim {
	s := &sim{now: at(0), issuer: ggspermit.NewIssuer(counter(0))}
	s.issuer.SetInstances([]ggscore.Instance{{ID: endpoint, Slots: simSlots}})
	s.issuer.SetLive(s.now, vms(simVMs))
	for n := range simVMs {
		s.vms = append(s.vms, &simVM{
			holder: ggspermit.NewHolder(id(n, 0).VM, uint64(1000*n+1)),
			asks:   map[ggscore.PermitID]bool{}, sent: map[ggscore.PermitID]bool{},
		})
	}
	return s
}

func (s *sim) post(f func()) { s.messages = append(s.messages, f) }

func (s *sim) vm(p ggscore.PermitID) *simVM { return s.vms[slices.Index(vms(simVMs), p.VM)] }

func (s *sim) decide(ds []ggscore.PermitDecision) {
	for _, d := range ds {
		s.post(func() { s.decided(d) })
	}
}

func (s *sim) decided(d ggscore.PermitDecision) {
	v := s.vm(d.ID)
	switch {
	case d.Outcome == ggscore.PermitWaiting || v.sent[d.ID]:
	case v.asks[d.ID] && d.Outcome == ggscore.PermitGranted && v.holder.Granted(s.now, d.ID):
		delete(v.asks, d.ID)
		v.sent[d.ID] = true
		v.holder.Sent(s.now, d.ID)
	default:
		s.end(d.ID)
	}
}

// ask asks for a permit of a VM's new request, or again for that of a request that waits.
func (s *sim) ask(v *simVM, again bool) {
	p := first(v.asks)
	if !again || p.Number == 0 {
		p = v.holder.Begin(endpoint)
		v.asks[p] = true
		v.holder.Asked(s.now, p, "issuer")
	}
	a := ggscore.PermitAsk{ID: p, Endpoint: endpoint, MaxWait: time.Second}
	s.post(func() { s.decide(s.issuer.Ask(s.now, a)) })
}

// first returns the request with the lowest number, zero without requests.
func first(ps map[ggscore.PermitID]bool) ggscore.PermitID {
	f := ggscore.PermitID{}
	for p := range ps {
		if f.Number == 0 || p.Number < f.Number {
			f = p
		}
	}
	return f
}

// end ends a request, or gives up its ask.
func (s *sim) end(p ggscore.PermitID) {
	v := s.vm(p)
	delete(v.asks, p)
	delete(v.sent, p)
	v.holder.End(s.now, p)
	s.post(func() { s.decide(s.issuer.Release(s.now, ggscore.PermitRelease{ID: p, Endpoint: endpoint})) })
}

// pass lets time pass, and renewals arrive.
func (s *sim) pass(d time.Duration) {
	for until := s.now.Add(d); s.now.Before(until); {
		s.now = s.now.Add(simStep)
		for _, v := range s.vms {
			for _, r := range v.holder.Renewals(s.now, func(ggscore.EndpointID) ggscore.VMID { return "issuer" }) {
				s.decide(s.issuer.Renew(s.now, r.PermitRenewal))
			}
		}
		s.decide(s.issuer.Tick(s.now))
	}
}

// act performs a random action.
func (s *sim) act(t *rapid.T) {
	v := s.vms[rapid.IntRange(0, simVMs-1).Draw(t, "vm")]
	switch action := rapid.IntRange(0, 9).Draw(t, "action"); action {
	case 0, 1:
		s.ask(v, action == 1)
	case 2:
		if p := first(v.sent); p.Number != 0 {
			s.end(p)
		}
	case 3:
		if p := first(v.asks); p.Number != 0 {
			s.end(p)
		}
	case 4:
		s.pass(simStep * time.Duration(rapid.IntRange(1, 40).Draw(t, "time")))
	default:
		s.deliver(t)
	}
}

// deliver delivers any message, or loses it, or delivers it and keeps a copy.
func (s *sim) deliver(t *rapid.T) {
	if len(s.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.messages)-1).Draw(t, "message")
	f := s.messages[i]
	fate := rapid.IntRange(0, 5).Draw(t, "fate")
	if fate != 0 {
		s.messages = append(s.messages[:i:i], s.messages[i+1:]...)
	}
	if fate != 1 {
		f()
	}
}

func (s *sim) inFlight() int {
	n := 0
	for _, v := range s.vms {
		n += len(v.sent)
	}
	return n
}

// Guards against more requests in flight than an endpoint has slots, and against slots that stay unused, after
// messages were lost, doubled or late.
func TestPermitsStayWithinSlots(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newPermitSim()
		for range rapid.IntRange(1, 150).Draw(t, "actions") {
			s.act(t)
			if n := s.inFlight(); n > simSlots {
				t.Fatalf("%d requests in flight at %d slots", n, simSlots)
			}
		}
		for _, v := range s.vms {
			for p := range v.sent {
				s.end(p)
			}
			for p := range v.asks {
				s.end(p)
			}
		}
		s.messages = nil
		s.pass(ggspermit.PermitTTL + time.Second)
		if n := askAll(s.issuer, s.now, 0, simSlots); n != simSlots {
			t.Fatalf("%d of %d slots are free in the end", n, simSlots)
		}
	})
}
