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

// An immediateScheduler dispatches every request to one runner and records how runs ended.
type immediateScheduler struct {
	ggscore.Scheduler

	ends []ggscore.EndKind
}

func (s *immediateScheduler) SetEndpoint(time.Time, ggscore.Endpoint, ggscore.OwnerMode) []ggscore.Order {
	return nil
}

func (s *immediateScheduler) Submit(_ time.Time, r *ggscore.Request) []ggscore.Order {
	return []ggscore.Order{{Kind: ggscore.OrderDispatch, Endpoint: "runner-1", Request: r}}
}

func (s *immediateScheduler) RequestEnded(_ time.Time, _ ggscore.RequestID, e ggscore.EndKind) []ggscore.Order {
	s.ends = append(s.ends, e)
	return nil
}

// A fakeEngine answers as the adapter named by serves, whichever adapter was requested.
type fakeEngine struct {
	serves ggscore.AdapterRef
	runs   int
}

func (e *fakeEngine) Run(_ context.Context, _ netip.AddrPort, _ *ggscore.Request, sink ggscore.ChunkSink) error {
	e.runs++
	return sink(ggscore.Chunk{Status: 200, Served: e.serves, Data: []byte("hola"), Final: true})
}

// A fakeGuard refuses everything if err is set.
type fakeGuard struct{ err error }

func (g fakeGuard) Check(time.Time, ggscore.EndpointID, ggscore.AdapterRef, ggscore.OrderKind) (ggscore.FencingToken, error) {
	return 1, g.err
}

// dispatchOne submits a request for deposits@v1 and executes its dispatch.
func dispatchOne(c *qt.C, e *fakeEngine, g fakeGuard) (*immediateScheduler, []ggscore.Chunk) {
	s := &immediateScheduler{}
	d := New(Options{}, Parts{Scheduler: s, Engine: e, Guard: g, Clock: fixedClock, Log: log.NewNopLogger()})
	d.SetEndpoints([]OwnedEndpoint{{Endpoint: ggscore.Endpoint{ID: "runner-1"}, Mode: ggscore.ModeFull}})
	r := &ggscore.Request{ID: "r", Adapter: ggscore.AdapterRef{Name: "deposits", Version: "v1"}}
	c.Assert(d.Submit(r) == nil, qt.IsTrue)
	o, ok := d.requests.take(context.Background())
	c.Assert(ok, qt.IsTrue)
	d.dispatch(context.Background(), o)
	got, _, lost := d.Next(cancelledContext(), keyOf(r), 0)
	c.Assert(lost, qt.IsFalse)
	return s, got
}

// Guards against an answer by the wrong adapter that reaches a caller. It happens when a
// runner answers with an adapter other than the requested one.
func TestAnswerOfAnotherAdapterIsNotForwarded(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		serves ggscore.AdapterRef
		kind   ggscore.FailureKind
		end    ggscore.EndKind
	}{
		"as requested":    {ggscore.AdapterRef{Name: "deposits", Version: "v1"}, "", ggscore.EndDone},
		"another version": {ggscore.AdapterRef{Name: "deposits", Version: "v2"}, ggscore.FailureWrongAdapter, ggscore.EndUnknown},
		"another adapter": {ggscore.AdapterRef{Name: "disputes", Version: "v1"}, ggscore.FailureWrongAdapter, ggscore.EndUnknown},
		"none named":      {ggscore.AdapterRef{}, ggscore.FailureWrongAdapter, ggscore.EndUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s, got := dispatchOne(c, &fakeEngine{serves: tc.serves}, fakeGuard{})
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

// Guards against a request that runs on a runner owned by another dispatcher. It happens
// when a dispatcher is paused between order and dispatch, beyond the end of its lease.
func TestOwnerWithExpiredLeaseDispatchesNothing(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := &fakeEngine{serves: ggscore.AdapterRef{Name: "deposits", Version: "v1"}}
	s, got := dispatchOne(c, e, fakeGuard{err: &ggscore.LeaseExpiredError{}})
	c.Assert(e.runs, qt.Equals, 0)
	c.Assert(got, qt.HasLen, 0)
	c.Assert(s.ends, qt.DeepEquals, []ggscore.EndKind{ggscore.EndFailed})
}

// Guards against long answers that a planned stop truncates. It happens when a
// dispatcher stops while a request is running or its answer is not read to the end.
func TestDrainWaitsForRunningAndUnreadAnswers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := &fakeEngine{serves: ggscore.AdapterRef{Name: "deposits", Version: "v1"}}
	d := New(Options{}, Parts{Scheduler: &immediateScheduler{}, Engine: e, Guard: fakeGuard{}, Clock: fixedClock, Log: log.NewNopLogger()})
	d.SetEndpoints([]OwnedEndpoint{{Endpoint: ggscore.Endpoint{ID: "runner-1"}, Mode: ggscore.ModeFull}})
	r := &ggscore.Request{ID: "r", Adapter: e.serves}
	c.Assert(d.Submit(r) == nil, qt.IsTrue)
	d.BeginDrain()
	c.Assert(d.Drain(cancelledContext()), qt.ErrorIs, context.Canceled)
	o, ok := d.requests.take(context.Background())
	c.Assert(ok, qt.IsTrue)
	d.dispatch(context.Background(), o)
	c.Assert(d.Drain(cancelledContext()), qt.ErrorIs, context.Canceled)
	d.Next(cancelledContext(), keyOf(r), 1)
	c.Assert(d.Drain(cancelledContext()), qt.IsNil)
}
