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
	fleetService           = ggscore.Service("models")
	fleetTick              = time.Millisecond
	fleetHeartbeatInterval = 150 * time.Millisecond
	// fleetFirstPieceTarget is the target latency of the first piece of an answer.
	fleetFirstPieceTarget = 800 * time.Millisecond
	// fleetWarmup is the time that VMs have to measure how fast the engines read prompts.
	// Requests that arrive earlier don't count towards ended and longGaps.
	fleetWarmup = 5 * time.Second
	// fleetBurstWindow is the time within which the requests of a burst arrive.
	fleetBurstWindow = 60 * time.Millisecond
)

// A workload describes the engines, the VMs and the requests of a simulation.
type workload struct {
	params  ggsfakebatch.Params
	engines int
	vms     int
	// readShare is the share of the engines' time that is spent on reading prompts, from
	// 0 to 1.
	readShare float64
	// prompt and output are the mean sizes of prompts and answers in tokens.
	prompt, output int
	targetGap      time.Duration
	duration       time.Duration
	// slowdown multiplies the step times of the first engine; zero leaves them unchanged.
	slowdown float64
	// large calls SetEndpoints on each VM's turn table, as in large fleets. VMs then
	// announce turns at some engines only.
	large bool
}

// A fleet simulates VMs in front of engines. Each VM chooses engines by its own state.
type fleet struct {
	workload
	policy   ggscore.Policy
	rng      *rand.Rand
	now      time.Time
	engines  []*ggsfakebatch.Engine
	vms      []*fleetVM
	messages []message
	streams  map[int]*stream
	waiting  []*stream
	result   fleetResult
}

// A fleetResult holds the outcome of a simulation as callers see it.
type fleetResult struct {
	requests, refused int
	// completed counts streams that ended. ended counts those among them that arrived
	// after fleetWarmup.
	completed, ended int
	// longGaps counts those streams among ended that had a gap between pieces over
	// targetGap. late counts first pieces that took longer than fleetFirstPieceTarget.
	longGaps, late int
	firstPieces    []time.Duration
	// announced counts the turns that VMs announced to other VMs.
	announced int
}

// A fleetVM is a VM with its own placement and turn tables.
type fleetVM struct {
	name   ggscore.VMID
	domain ggscore.Domain
	table  *ggsplace.Table
	turns  *ggsturn.Table
}

// A message changes the state of a VM when it arrives there.
type message struct {
	at    time.Time
	apply func(now time.Time)
}

// A stream is a request in flight.
type stream struct {
	request  ggsfakebatch.Request
	vm       *fleetVM
	engine   int
	turn     ggscore.PromptTurn
	arrived  time.Time
	sent     time.Time
	last     time.Time
	gap      time.Duration
	degraded bool
}

func engineID(n int) ggscore.EndpointID { return ggscore.EndpointID(fmt.Sprintf("r%02d", n)) }

func engineIDs(engines int) []ggscore.EndpointID {
	ids := make([]ggscore.EndpointID, 0, engines)
	for n := range engines {
		ids = append(ids, engineID(n))
	}
	return ids
}

// fleetDomain returns the failure domain of an engine or a VM: even and odd numbers are in
// different regions.
func fleetDomain(n int) ggscore.Domain { return ggscore.Domain(fmt.Sprintf("d%d", n%2)) }

func newFleet(l workload, policy ggscore.Policy, seed uint64) *fleet {
	f := &fleet{workload: l, policy: policy, rng: rand.New(rand.NewPCG(seed, 1)), now: at(0), streams: map[int]*stream{}}
	var list []ggscore.Instance
	regions := map[ggscore.Domain]ggscore.Region{fleetDomain(0): "east", fleetDomain(1): "west"}
	for n := range l.engines {
		s := l.params
		if n == 0 && l.slowdown > 0 {
			s.Step = time.Duration(l.slowdown * float64(s.Step))
			s.PerToken = time.Duration(l.slowdown * float64(s.PerToken))
		}
		f.workload.engines = l.engines
		f.engines = append(f.engines, ggsfakebatch.New(s, f.now))
		list = append(list, ggscore.Instance{
			ID: engineID(n), Service: fleetService, Domain: fleetDomain(n), Slots: s.Slots, Models: []ggscore.ResidentModel{{Name: "m"}},
		})
	}
	for n := range l.vms {
		name := ggscore.VMID(fmt.Sprintf("vm%d", n))
		v := &fleetVM{name: name, domain: fleetDomain(n), turns: ggsturn.NewTable(ggsturn.Options{VM: name})}
		v.turns.SetService(fleetService, l.targetGap)
		v.turns.SetDecides(n == 0)
		v.table = ggsplace.NewTable(ggsplace.Options{Domain: fleetDomain(n), Regions: regions, Seed: seed + uint64(n), Turns: v.turns, Policy: policy})
		v.table.SetInstances(at(0), list)
		if l.large {
			v.turns.SetEndpoints(fleetService, engineIDs(l.engines))
		}
		f.vms = append(f.vms, v)
	}
	return f
}

func (f *fleet) run() fleetResult {
	end := f.now.Add(f.duration)
	perSecond := f.readShare * float64(f.workload.engines) / (float64(f.prompt) * f.params.PerToken.Seconds())
	next := f.now
	var due []time.Time
	for ; f.now.Before(end); f.now = f.now.Add(fleetTick) {
		f.deliver()
		for !next.After(f.now) {
			// Requests arrive in bursts, as from users who react to the same event.
			for range 1 + int(f.rng.ExpFloat64()*1.5) {
				due = append(due, f.now.Add(time.Duration(f.rng.Int64N(int64(fleetBurstWindow)))))
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
		if f.now.Sub(at(0))%fleetHeartbeatInterval == 0 {
			f.sendHeartbeats()
		}
	}
	return f.result
}

// size draws a size from a log-normal distribution with the given mean. Most sizes are
// below the mean and some far above it, up to 3.25 times the mean.
func (f *fleet) size(mean int) int {
	x := math.Exp(0.8*f.rng.NormFloat64() - 0.32)
	return min(max(int(float64(mean)*x), 16), 13*mean/4)
}

func (f *fleet) arrive() {
	f.result.requests++
	s := &stream{
		request: ggsfakebatch.Request{ID: f.result.requests, Prompt: f.size(f.prompt), Output: f.size(f.output)},
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
		s.turn = s.vm.turns.Take(f.now, fleetService, c.Instance.ID, s.request.Prompt, f.announceDelay(s))
		f.announceTurn(s)
	}
	f.streams[s.request.ID] = s
	f.waiting = append(f.waiting, s)
}

// announceDelay returns the time that a turn's announcement takes to the VMs of the
// engine's region.
func (f *fleet) announceDelay(s *stream) time.Duration {
	if fleetDomain(s.engine) == s.vm.domain {
		return 2 * time.Millisecond
	}
	return 10 * time.Millisecond
}

func (f *fleet) announceTurn(s *stream) {
	n := s.turn
	if !s.vm.turns.Announces(f.now, n) {
		return
	}
	f.result.announced++
	f.broadcast(s.vm, func(o *fleetVM, now time.Time) {
		o.turns.Drop(n)
		o.turns.Add(now, n)
	})
}

// broadcast sends a message to all other VMs. It arrives after 1 ms in the sender's region
// and after 9 ms in the other region.
func (f *fleet) broadcast(from *fleetVM, apply func(o *fleetVM, now time.Time)) {
	for _, v := range f.vms {
		if v == from {
			continue
		}
		delay := time.Millisecond
		if v.domain != from.domain {
			delay = 9 * time.Millisecond
		}
		f.messages = append(f.messages, message{at: f.now.Add(delay), apply: func(now time.Time) { apply(v, now) }})
	}
}

func (f *fleet) deliver() {
	f.messages = slices.DeleteFunc(f.messages, func(m message) bool {
		if m.at.After(f.now) {
			return false
		}
		m.apply(f.now)
		return true
	})
}

func (f *fleet) send() {
	f.waiting = slices.DeleteFunc(f.waiting, func(s *stream) bool {
		if s.turn.Begin.After(f.now) {
			return false
		}
		if n, ok := s.vm.turns.Confirm(f.now, s.turn); !ok {
			s.turn = n
			f.announceTurn(s)
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
		f.result.firstPieces = append(f.result.firstPieces, first)
		if first > fleetFirstPieceTarget {
			f.result.late++
		}
		s.degraded = first > fleetFirstPieceTarget && first-s.sent.Sub(s.arrived) <= fleetFirstPieceTarget
		if s.degraded {
			s.vm.turns.RecordStream(p.At, fleetService, engineID(n), true)
		}
		s.vm.turns.RecordFirstChunk(p.At, s.turn, s.sent)
	} else {
		gap := p.At.Sub(s.last)
		s.gap = max(s.gap, gap)
		if s.vm.turns.RecordGap(p.At, fleetService, engineID(n), gap) && !s.degraded {
			s.degraded = true
			s.vm.turns.RecordStream(p.At, fleetService, engineID(n), true)
		}
	}
	s.last = p.At
	if p.Last && s.arrived.Sub(at(0)) > fleetWarmup {
		f.result.ended++
		if s.gap > f.targetGap {
			f.result.longGaps++
		}
	}
	if p.Last {
		f.result.completed++
		if !s.degraded {
			s.vm.turns.RecordStream(p.At, fleetService, engineID(n), false)
		}
		s.vm.table.Ended(f.now, engineID(n), ggsretry.ResultOK)
		delete(f.streams, p.ID)
	}
}

func (f *fleet) sendHeartbeats() {
	for _, v := range f.vms {
		inFlight := v.table.ReportInFlight()
		samples, tallies := v.turns.DrainUnreported()
		modes := v.turns.Modes()
		f.broadcast(v, func(o *fleetVM, now time.Time) {
			o.table.SetPeerInFlight(now, v.name, inFlight)
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

// slowEngine and wideEngine return workloads whose engines differ in speed, in the prompt
// tokens that a step reads and in the tokens of a piece. Three full steps of slowEngine take
// 350 ms and eight of wideEngine 870 ms. Both exceed the targetGap of their workload.
func slowEngine() workload {
	return workload{
		params: ggsfakebatch.Params{
			Slots: 64, Memory: 120_000, Step: 9 * time.Millisecond, PerSlot: 40 * time.Microsecond,
			PerToken: time.Second / 19_000, Chunk: 2048, PieceTokens: 3,
		},
		engines: 9, vms: 8, readShare: 0.45, prompt: 1400, output: 170, targetGap: 300 * time.Millisecond, duration: 22 * time.Second,
	}
}

func wideEngine() workload {
	return workload{
		params: ggsfakebatch.Params{
			Slots: 24, Memory: 200_000, Step: 6 * time.Millisecond, PerSlot: 20 * time.Microsecond,
			PerToken: time.Second / 28_000, Chunk: 4096, PieceTokens: 8,
		},
		engines: 9, vms: 8, readShare: 0.45, prompt: 4000, output: 240, targetGap: 600 * time.Millisecond, duration: 22 * time.Second,
	}
}

// smallSteps returns a workload whose engines read chunks so small that streams keep below
// targetGap without turns. The engines are close to saturation.
func smallSteps() workload {
	l := slowEngine()
	l.params.Chunk, l.readShare = 512, 0.85
	return l
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(of) }

func runBoth(t *testing.T, l workload) (with, without fleetResult) {
	t.Helper()
	with = newFleet(l, ggscore.Policy{}, 1).run()
	without = newFleet(l, ggscore.Policy{Off: []ggscore.Mechanism{ggscore.MechanismTurns}}, 1).run()
	slices.Sort(with.firstPieces)
	t.Logf("requests %d: long gaps %.1f%% (without turns %.1f%%), late %.1f%% (%.1f%%), first pieces p50 %s p95 %s max %s", with.requests,
		percent(with.longGaps, with.ended), percent(without.longGaps, without.ended), percent(with.late, with.completed), percent(without.late, without.completed),
		with.firstPieces[len(with.firstPieces)/2], with.firstPieces[len(with.firstPieces)*95/100], with.firstPieces[len(with.firstPieces)-1])
	return with, without
}

// Guards against streams that pause for 350 ms whenever a burst of prompts fills the engine's
// steps. Without turns, 50 % and 44 % of the streams of slowEngine and wideEngine exceed
// targetGap, with turns 1.4 % and 1.3 %. Their median first piece takes 90 ms and 150 ms.
func TestStreamsDontPauseForPrompts(t *testing.T) {
	t.Parallel()
	for name, l := range map[string]workload{"slow engine": slowEngine(), "wide engine": wideEngine()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			with, without := runBoth(t, l)
			c.Check(percent(with.longGaps, with.ended) <= 5, qt.IsTrue)
			c.Check(percent(with.late, with.completed) <= 5, qt.IsTrue)
			c.Check(with.refused, qt.Equals, 0)
			c.Check(with.firstPieces[len(with.firstPieces)-1] < 4*fleetFirstPieceTarget, qt.IsTrue, qt.Commentf("a first piece took at least 4 times the target"))
			c.Check(percent(without.longGaps, without.ended) > 15, qt.IsTrue, qt.Commentf("workload doesn't need turns"))
		})
	}
}

// Guards against prompts that wait for turns at engines that read small chunks. At such engines
// turns only add latency, also when the engines are close to saturation.
func TestPromptsDontWaitAtEnginesWithSmallChunks(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	with, without := runBoth(t, smallSteps())
	c.Check(percent(with.longGaps, with.ended) <= 5, qt.IsTrue)
	c.Check(percent(with.late, with.completed) <= percent(without.late, without.completed)+1, qt.IsTrue)
}

// inLargeFleet returns the workload for a large fleet, which announces turns at some engines
// only.
func inLargeFleet(l workload) workload {
	l.engines, l.vms, l.large = 40, 24, true
	return l
}

// Guards against a large fleet that doesn't detect streams that pause because of prompts.
func TestStreamsDontPauseForPromptsInLargeFleets(t *testing.T) {
	t.Parallel()
	for name, l := range map[string]workload{"slow engine": inLargeFleet(slowEngine()), "wide engine": inLargeFleet(wideEngine())} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			with, without := runBoth(t, l)
			c.Check(percent(with.longGaps, with.ended) <= 5, qt.IsTrue)
			c.Check(percent(with.late, with.completed) <= 5, qt.IsTrue)
			c.Check(percent(without.longGaps, without.ended) > 15, qt.IsTrue, qt.Commentf("workload doesn't need turns"))
		})
	}
}

// Guards against VMs of a large fleet that announce every turn to all other VMs although no
// prompt has to wait.
func TestFewTurnsAreAnnouncedInLargeFleets(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l := inLargeFleet(smallSteps())
	l.readShare, l.prompt, l.duration = 0.45, 400, 8*time.Second
	with, without := runBoth(t, l)
	t.Logf("announced %d turns of %d", with.announced, with.requests)
	c.Check(float64(with.announced) <= 0.3*float64(with.requests), qt.IsTrue)
	c.Check(percent(with.longGaps, with.ended) <= 5, qt.IsTrue)
	c.Check(percent(with.late, with.completed) <= percent(without.late, without.completed)+1, qt.IsTrue)
}
