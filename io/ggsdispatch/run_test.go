package ggsdispatch

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	ggscore "greengageslip/core"
)

// A oneRunner schedules everything on one runner at once and notes the ends.
type oneRunner struct {
	ggscore.Scheduler

	ends []ggscore.EndKind
}

func (s *oneRunner) SetEndpoint(time.Time, ggscore.Endpoint, ggscore.OwnerMode) []ggscore.Order {
	return nil
}

func (s *oneRunner) Submit(_ time.Time, r *ggscore.Request) []ggscore.Order {
	return []ggscore.Order{{Kind: ggscore.OrderDispatch, Endpoint: "runner-1", Request: r}}
}

func (s *oneRunner) RequestEnded(_ time.Time, _ ggscore.RequestID, e ggscore.EndKind) []ggscore.Order {
	s.ends = append(s.ends, e)
	return nil
}

// An engine answers as an adapter, asked for or not.
type engine struct {
	serves ggscore.AdapterRef
	runs   int
}

func (e *engine) Run(_ context.Context, _ netip.AddrPort, _ *ggscore.Request, sink ggscore.ChunkSink) error {
	e.runs++
	return sink(ggscore.Chunk{Status: 200, Served: e.serves, Data: []byte("hola"), Final: true})
}

// A lapsed guard refuses all.
type guard struct{ err error }

func (g guard) Check(time.Time, ggscore.EndpointID, ggscore.AdapterRef, ggscore.OrderKind) (ggscore.FencingToken, error) {
	return 1, g.err
}

// runOne submits a request for deposits@v1 and carries its dispatch out.
func runOne(c *qt.C, e *engine, g guard) (*oneRunner, []ggscore.Chunk) {
	s := &oneRunner{}
	d := New(Options{}, Parts{Scheduler: s, Engine: e, Guard: g, Clock: fixedClock, Log: log.NewNopLogger()})
	d.SetEndpoints([]OwnedEndpoint{{Endpoint: ggscore.Endpoint{ID: "runner-1"}, Mode: ggscore.ModeFull}})
	r := &ggscore.Request{ID: "r", Adapter: ggscore.AdapterRef{Name: "deposits", Version: "v1"}}
	c.Assert(d.Submit(r) == nil, qt.IsTrue)
	o, ok := d.requests.take(context.Background())
	c.Assert(ok, qt.IsTrue)
	d.dispatch(context.Background(), o)
	got, _, lost := d.Next(closedContext(), keyOf(r), 0)
	c.Assert(lost, qt.IsFalse)
	return s, got
}

// A tenant read a summary in the words of another market: the runner had
// answered with an adapter that nobody asked for, and the answer was passed on.
func TestAnswerOfAnotherAdapterIsNotPassedOn(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		serves ggscore.AdapterRef
		kind   ggscore.FailureKind
		end    ggscore.EndKind
	}{
		"as asked":        {ggscore.AdapterRef{Name: "deposits", Version: "v1"}, "", ggscore.EndDone},
		"another version": {ggscore.AdapterRef{Name: "deposits", Version: "v2"}, ggscore.FailureWrongAdapter, ggscore.EndUnknown},
		"another adapter": {ggscore.AdapterRef{Name: "disputes", Version: "v1"}, ggscore.FailureWrongAdapter, ggscore.EndUnknown},
		"none named":      {ggscore.AdapterRef{}, ggscore.FailureWrongAdapter, ggscore.EndUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s, got := runOne(c, &engine{serves: tc.serves}, guard{})
			c.Assert(got, qt.HasLen, 1)
			c.Assert(s.ends, qt.DeepEquals, []ggscore.EndKind{tc.end})
			if tc.kind == "" {
				c.Assert(string(got[0].Data), qt.Equals, "hola")
				return
			}
			c.Assert(got[0].Data, qt.HasLen, 0)
			c.Assert(got[0].Failure.Kind, qt.Equals, tc.kind)
			c.Assert(got[0].Failure.Outcome, qt.Equals, ggscore.OutcomeUnknown)
		})
	}
}

// A request ran on a runner that another dispatcher owned by then: this one had
// been paused between the order and its dispatch, past the end of its lease.
func TestLapsedOwnerDispatchesNothing(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := &engine{serves: ggscore.AdapterRef{Name: "deposits", Version: "v1"}}
	s, got := runOne(c, e, guard{err: &ggscore.LeaseExpiredError{}})
	c.Assert(e.runs, qt.Equals, 0)
	c.Assert(got, qt.HasLen, 0)
	c.Assert(s.ends, qt.DeepEquals, []ggscore.EndKind{ggscore.EndFailed})
}

// A planned stop cut off long answers: the dispatcher ended while a request was
// still running, or while its gateway had not read the answer to the end.
func TestDrainWaitsForRunningAndUnreadAnswers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := &engine{serves: ggscore.AdapterRef{Name: "deposits", Version: "v1"}}
	d := New(Options{}, Parts{Scheduler: &oneRunner{}, Engine: e, Guard: guard{}, Clock: fixedClock, Log: log.NewNopLogger()})
	d.SetEndpoints([]OwnedEndpoint{{Endpoint: ggscore.Endpoint{ID: "runner-1"}, Mode: ggscore.ModeFull}})
	r := &ggscore.Request{ID: "r", Adapter: e.serves}
	c.Assert(d.Submit(r) == nil, qt.IsTrue)
	d.BeginDrain()
	c.Assert(d.Drain(closedContext()), qt.ErrorIs, context.Canceled)
	o, ok := d.requests.take(context.Background())
	c.Assert(ok, qt.IsTrue)
	d.dispatch(context.Background(), o)
	c.Assert(d.Drain(closedContext()), qt.ErrorIs, context.Canceled)
	d.Next(closedContext(), keyOf(r), 1)
	c.Assert(d.Drain(closedContext()), qt.IsNil)
}
