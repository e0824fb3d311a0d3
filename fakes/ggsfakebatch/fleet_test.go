package ggsfakebatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsplace"
	"greengageslip/core/ggsretry"
	"greengageslip/core/ggsturn"
	"greengageslip/fakes/ggsfakebatch"
)

const (
	fleetService = ggscore.Service("models")
	fleetTick    = time.Millisecond
	fleetBeat    = 150 * time.Millisecond
	// fleetTarget is the time within which callers want the first piece.
	fleetTarget = 800 * time.Millisecond
	// fleetLearn is the time that VMs have to learn how the engines read.
	fleetLearn = 5 * time.Second
	// fleetBunch is the time within which the callers of a bunch come.
	fleetBunch = 60 * time.Millisecond
)

// A load is what a fleet is asked for.
type load struct {
	shape   ggsfakebatch.Shape
	engines int
	vms     int
	// reading is the part of the engines' time that reading the prompts takes.
	reading float64
	// prompt and output are mean sizes in tokens.
	prompt, output int
	gapAim         time.Duration
	length         time.Duration
	// slow makes the first engine so many times slower.
	slow float64
	// large has VMs announce turns at some engines only.
	large bool
}

// A fleet is VMs that decide, each by its own view, before engines.
type fleet struct {
	load
	policy  ggscore.Policy
	rng     *rand.Rand
	now     time.Time
	engines []*ggsfakebatch.Engine
	vms     []*fleetVM
	mail    []letter
	streams map[int]*stream
	held    []*stream
	result  fleetResult
}

// What callers of a fleet got.
type fleetResult struct {
	asked, refused int
	// whole counts streams that ended, ended those that came after fleetLearn.
	whole, ended int
	// long counts streams with a pause over the aim, late first pieces over fleetTarget.
	long, late int
	first      []time.Duration
	// announced counts the turns that VMs announced to each other.
	announced int
}

// A fleetVM is a VM's view.
type fleetVM struct {
	name   ggscore.VMID
	domain ggscore.Domain
	table  *ggsplace.Table
	turns  *ggsturn.Table
}

// A letter is something that a VM learns when it arrives.
type letter struct {
	at time.Time
	do func(now time.Time)
}

// A stream is a request on its way.
type stream struct {
	request ggsfakebatch.Request
	vm      *fleetVM
	engine  int
	turn    ggscore.PromptTurn
	arrived time.Time
	sent    time.Time
	last    time.Time
	gap     time.Duration
	hurt    bool
}

func engineID(n int) ggscore.EndpointID { return ggscore.EndpointID(fmt.Sprintf("r%02d", n)) }

func engineIDs(engines int) []ggscore.EndpointID {
	ids := make([]ggscore.EndpointID, 0, engines)
	for n := range engines {
		ids = append(ids, engineID(n))
	}
	return ids
}

// fleetDomain spreads engines and VMs over two regions.
func fleetDomain(n int) ggscore.Domain { return ggscore.Domain(fmt.Sprintf("d%d", n%2)) }

func newFleet(l load, policy ggscore.Policy, seed uint64) *fleet {
	f := &fleet{load: l, policy: policy, rng: rand.New(rand.NewPCG(seed, 1)), now: at(0), streams: map[int]*stream{}}
	var list []ggscore.Instance
	regions := map[ggscore.Domain]ggscore.Region{fleetDomain(0): "east", fleetDomain(1): "west"}
	for n := range l.engines {
		s := l.shape
		if n == 0 && l.slow > 0 {
			s.Step = time.Duration(l.slow * float64(s.Step))
			s.PerToken = time.Duration(l.slow * float64(s.PerToken))
		}
		f.load.engines = l.engines
		f.engines = append(f.engines, ggsfakebatch.New(s, f.now))
		list = append(list, ggscore.Instance{
			ID: engineID(n), Service: fleetService, Domain: fleetDomain(n), Slots: s.Slots, Models: []ggscore.ResidentModel{{Name: "m"}},
		})
	}
	for n := range l.vms {
		name := ggscore.VMID(fmt.Sprintf("vm%d", n))
		v := &fleetVM{name: name, domain: fleetDomain(n), turns: ggsturn.NewTable(ggsturn.Options{VM: name})}
		v.turns.SetService(fleetService, l.gapAim)
		v.turns.SetDecides(n == 0)
		v.table = ggsplace.NewTable(ggsplace.Options{Domain: fleetDomain(n), Regions: regions, Seed: seed + uint64(n), Turns: v.turns, Policy: policy})
		v.table.SetInstances(list)
		if l.large {
			v.turns.SetEndpoints(fleetService, engineIDs(l.engines))
		}
		f.vms = append(f.vms, v)
	}
	return f
}

func (f *fleet) play() fleetResult {
	end := f.now.Add(f.length)
	perSecond := f.reading * float64(f.load.engines) / (float64(f.prompt) * f.shape.PerToken.Seconds())
	next := f.now
	var due []time.Time
	for ; f.now.Before(end); f.now = f.now.Add(fleetTick) {
		f.deliver()
		for !next.After(f.now) {
			// Callers come in bunches: users who act on the same word, within a blink.
			for range 1 + int(f.rng.ExpFloat64()*1.5) {
				due = append(due, f.now.Add(time.Duration(f.rng.Int64N(int64(fleetBunch)))))
			}
			next = next.Add(time.Duration(f.rng.ExpFloat64() * 2.1 / perSecond * float64(time.Second)))
		}
		due = slices.DeleteFunc(due, func(d time.Time) bool {
			if d.After(f.now) {
				return false
			}
			f.arrive()
			return true
		})
		f.send()
		for n, e := range f.engines {
			for _, p := range e.Advance(f.now) {
				f.piece(n, p)
			}
		}
		if f.now.Sub(at(0))%fleetBeat == 0 {
			f.beat()
		}
	}
	return f.result
}

// size draws a size around a mean, most below it and some far above.
func (f *fleet) size(mean int) int {
	x := math.Exp(0.8*f.rng.NormFloat64() - 0.32)
	return min(max(int(float64(mean)*x), 16), 13*mean/4)
}

func (f *fleet) arrive() {
	f.result.asked++
	s := &stream{
		request: ggsfakebatch.Request{ID: f.result.asked, Prompt: f.size(f.prompt), Output: f.size(f.output)},
		vm:      f.vms[f.rng.IntN(len(f.vms))], arrived: f.now,
	}
	c, err := s.vm.table.Choose(f.now, ggsplace.Query{
		Service: fleetService, Engine: &ggscore.EngineSpec{}, Target: ggscore.ModelAdapter{Model: "m"}, PromptTokens: s.request.Prompt,
	})
	if err != nil {
		f.result.refused++
		return
	}
	for n := range f.engines {
		if engineID(n) == c.Instance.ID {
			s.engine = n
		}
	}
	s.vm.table.Sent(f.now, c.Instance.ID)
	s.turn = ggscore.PromptTurn{Begin: f.now}
	if f.policy.On(ggscore.MechanismTurns) {
		s.turn = s.vm.turns.Take(f.now, fleetService, c.Instance.ID, s.request.Prompt, f.way(s))
		f.tellTurn(s)
	}
	f.streams[s.request.ID] = s
	f.held = append(f.held, s)
}

// way returns the time that word of a turn takes to the VMs of the engine's region.
func (f *fleet) way(s *stream) time.Duration {
	if fleetDomain(s.engine) == s.vm.domain {
		return 2 * time.Millisecond
	}
	return 10 * time.Millisecond
}

func (f *fleet) tellTurn(s *stream) {
	n := s.turn
	if !s.vm.turns.Announces(f.now, n) {
		return
	}
	f.result.announced++
	f.tell(s.vm, func(o *fleetVM, now time.Time) {
		o.turns.Drop(n)
		o.turns.Add(now, n)
	})
}

// tell has the other VMs learn something: those of the region within a millisecond,
// the others nine later.
func (f *fleet) tell(from *fleetVM, do func(o *fleetVM, now time.Time)) {
	for _, v := range f.vms {
		if v == from {
			continue
		}
		way := time.Millisecond
		if v.domain != from.domain {
			way = 9 * time.Millisecond
		}
		f.mail = append(f.mail, letter{at: f.now.Add(way), do: func(now time.Time) { do(v, now) }})
	}
}

func (f *fleet) deliver() {
	f.mail = slices.DeleteFunc(f.mail, func(l letter) bool {
		if l.at.After(f.now) {
			return false
		}
		l.do(f.now)
		return true
	})
}

func (f *fleet) send() {
	f.held = slices.DeleteFunc(f.held, func(s *stream) bool {
		if s.turn.Begin.After(f.now) {
			return false
		}
		if n, ok := s.vm.turns.Confirm(f.now, s.turn); !ok {
			s.turn = n
			f.tellTurn(s)
			return false
		}
		s.sent = f.now
		f.engines[s.engine].Submit(f.now, s.request)
		return true
	})
}

func (f *fleet) piece(n int, p ggsfakebatch.Piece) {
	s := f.streams[p.ID]
	if p.First {
		first := p.At.Sub(s.arrived)
		f.result.first = append(f.result.first, first)
		if first > fleetTarget {
			f.result.late++
		}
		s.hurt = first > fleetTarget && first-s.sent.Sub(s.arrived) <= fleetTarget
		if s.hurt {
			s.vm.turns.RecordStream(p.At, fleetService, engineID(n), true)
		}
		s.vm.turns.RecordFirstPiece(p.At, s.turn, s.sent)
	} else {
		gap := p.At.Sub(s.last)
		s.gap = max(s.gap, gap)
		if s.vm.turns.RecordGap(p.At, fleetService, engineID(n), gap) && !s.hurt {
			s.hurt = true
			s.vm.turns.RecordStream(p.At, fleetService, engineID(n), true)
		}
	}
	s.last = p.At
	if p.Last && s.arrived.Sub(at(0)) > fleetLearn {
		f.result.ended++
		if s.gap > f.gapAim {
			f.result.long++
		}
	}
	if p.Last {
		f.result.whole++
		if !s.hurt {
			s.vm.turns.RecordStream(p.At, fleetService, engineID(n), false)
		}
		s.vm.table.Ended(f.now, engineID(n), ggsretry.ResultOK)
		delete(f.streams, p.ID)
	}
}

func (f *fleet) beat() {
	for _, v := range f.vms {
		flights := v.table.ReportInFlight()
		samples, tallies := v.turns.DrainUnreported()
		modes := v.turns.Modes()
		f.tell(v, func(o *fleetVM, now time.Time) {
			o.table.SetPeerInFlight(now, v.name, flights)
			for _, s := range samples {
				o.turns.AddSample(s)
			}
			for _, n := range tallies {
				o.turns.AddTally(now, n)
			}
			if v != f.vms[0] {
				return
			}
			for _, m := range modes {
				o.turns.ApplyMode(now, m)
			}
		})
	}
}

// Two engines that differ in speed, in the prompt tokens that a step reads and in the
// tokens of a piece. Three full steps of the first take 350 ms, eight of the second
// 870 ms, both more than callers want.
func slowEngine() load {
	return load{
		shape: ggsfakebatch.Shape{
			Slots: 64, Memory: 120_000, Step: 9 * time.Millisecond, PerSlot: 40 * time.Microsecond,
			PerToken: time.Second / 19_000, Chunk: 2048, PieceTokens: 3,
		},
		engines: 9, vms: 8, reading: 0.45, prompt: 1400, output: 170, gapAim: 300 * time.Millisecond, length: 22 * time.Second,
	}
}

func wideEngine() load {
	return load{
		shape: ggsfakebatch.Shape{
			Slots: 24, Memory: 200_000, Step: 6 * time.Millisecond, PerSlot: 20 * time.Microsecond,
			PerToken: time.Second / 28_000, Chunk: 4096, PieceTokens: 8,
		},
		engines: 9, vms: 8, reading: 0.45, prompt: 4000, output: 240, gapAim: 600 * time.Millisecond, length: 22 * time.Second,
	}
}

// An engine that reads in pieces so small that streams never pause for too long, at a
// load that leaves no time to spare.
func smallSteps() load {
	l := slowEngine()
	l.shape.Chunk, l.reading = 512, 0.85
	return l
}

func share(n, of int) float64 { return 100 * float64(n) / float64(of) }

func playBoth(t *testing.T, l load) (with, without fleetResult) {
	t.Helper()
	with = newFleet(l, ggscore.Policy{}, 1).play()
	without = newFleet(l, ggscore.Policy{Off: []ggscore.Mechanism{ggscore.MechanismTurns}}, 1).play()
	slices.Sort(with.first)
	t.Logf("asked %d: long %.1f in a hundred (without turns %.1f), late %.1f (%.1f), first pieces p50 %s p95 %s most %s", with.asked,
		share(with.long, with.ended), share(without.long, without.ended), share(with.late, with.whole), share(without.late, without.whole),
		with.first[len(with.first)/2], with.first[len(with.first)*95/100], with.first[len(with.first)-1])
	return with, without
}

// Callers read a text as it is written, and it stops again and again for a third of a
// second: prompts of others that came in a bunch fill step after step of the engine.
//
// With turns 1.4 and 1.3 streams in a hundred pause for longer than callers want, without
// them 50 and 44; half of the first pieces come within 90 and 150 ms.
func TestStreamsDontPauseForPrompts(t *testing.T) {
	t.Parallel()
	for name, l := range map[string]load{"slow engine": slowEngine(), "wide engine": wideEngine()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			with, without := playBoth(t, l)
			c.Check(share(with.long, with.ended) <= 5, qt.IsTrue)
			c.Check(share(with.late, with.whole) <= 5, qt.IsTrue)
			c.Check(with.refused, qt.Equals, 0)
			c.Check(with.first[len(with.first)-1] < 4*fleetTarget, qt.IsTrue, qt.Commentf("a prompt was starved"))
			c.Check(share(without.long, without.ended) > 15, qt.IsTrue, qt.Commentf("the load has to need turns"))
		})
	}
}

// Where engines read in small pieces, turns would only make callers wait. Prompts don't
// wait there, also when the engines have hardly time for them all.
func TestPromptsDontWaitForNothing(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	with, without := playBoth(t, smallSteps())
	c.Check(share(with.long, with.ended) <= 5, qt.IsTrue)
	c.Check(share(with.late, with.whole) <= share(without.late, without.whole)+1, qt.IsTrue)
}

// inLargeFleet returns a load for a fleet that announces turns at some engines only.
func inLargeFleet(l load) load {
	l.engines, l.vms, l.large = 40, 24, true
	return l
}

// Guards against a large fleet that doesn't see that prompts make streams pause.
func TestStreamsDontPauseForPromptsInLargeFleets(t *testing.T) {
	t.Parallel()
	for name, l := range map[string]load{"slow engine": inLargeFleet(slowEngine()), "wide engine": inLargeFleet(wideEngine())} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			with, without := playBoth(t, l)
			c.Check(share(with.long, with.ended) <= 5, qt.IsTrue)
			c.Check(share(with.late, with.whole) <= 5, qt.IsTrue)
			c.Check(share(without.long, without.ended) > 15, qt.IsTrue, qt.Commentf("the load has to need turns"))
		})
	}
}

// Guards against VMs of a large fleet that announce each prompt to all others though none waits.
func TestFewTurnsAreAnnouncedInLargeFleets(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := inLargeFleet(smallSteps())
	l.reading, l.prompt, l.length = 0.45, 400, 8*time.Second
	with, without := playBoth(t, l)
	t.Logf("announced %d turns of %d", with.announced, with.asked)
	c.Check(float64(with.announced) <= 0.3*float64(with.asked), qt.IsTrue)
	c.Check(share(with.long, with.ended) <= 5, qt.IsTrue)
	c.Check(share(with.late, with.whole) <= share(without.late, without.whole)+1, qt.IsTrue)
}
