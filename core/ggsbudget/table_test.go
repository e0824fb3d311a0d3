package ggsbudget_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"greengageslip/core/ggsbudget"
)

const (
	callers = ggsbudget.Class("callers")
	calls   = ggsbudget.Class("calls")
)

func limits() ggsbudget.Limits {
	return ggsbudget.Limits{
		Bytes: 10_000, BodyBytes: 6_000, ConnBytes: 100, Requests: 3,
		Conns: map[ggsbudget.Class]int{callers: 10, calls: 2},
	}
}

var begin = time.Unix(1_000, 0) //nolint:gochecknoglobals // the tests' clock

func open(c *qt.C, t *ggsbudget.Table, now time.Time, k ggsbudget.Class) *ggsbudget.Holder {
	h, victims, err := t.Open(now, k)
	c.Assert(err, qt.IsNil)
	c.Assert(victims, qt.HasLen, 0)
	t.Wait(now, h, ggsbudget.WaitHead)
	return h
}

func full(err error) (ggsbudget.Resource, bool) {
	var f *ggsbudget.FullError
	if errors.As(err, &f) {
		return f.Resource, true
	}
	return 0, false
}

// Guards against a crowd that takes all connections and stays.
func TestConnectionsGiveWayInOrder(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		wait ggsbudget.Wait
		age  time.Duration
		gone bool
	}{
		"silent for long":                {ggsbudget.WaitHead, time.Second, true},
		"silent, just opened":            {ggsbudget.WaitHead, 0, true},
		"a body that stopped":            {ggsbudget.WaitBody, 2 * time.Second, true},
		"a body that just began":         {ggsbudget.WaitBody, 500 * time.Millisecond, false},
		"an answer that isn't read":      {ggsbudget.WaitAnswer, 3 * time.Second, true},
		"an answer that is slowly read":  {ggsbudget.WaitAnswer, time.Second, false},
		"idle after a request, just now": {ggsbudget.WaitIdle, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			b := ggsbudget.NewTable(limits())
			working := open(c, b, begin, calls)
			b.Work(working)
			h := open(c, b, begin, calls)
			b.Wait(begin, h, tc.wait)
			_, victims, err := b.Open(begin.Add(tc.age), calls)
			if !tc.gone {
				r, ok := full(err)
				c.Assert(ok && r == ggsbudget.ResourceConns, qt.IsTrue)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(slices.Equal(victims, []*ggsbudget.Holder{h}), qt.IsTrue)
			c.Assert(b.Usage().Conns, qt.Equals, 2)
		})
	}
}

// Guards against connections that are closed before their first bytes were read.
func TestConnectionsThatAreNotReadYetStay(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := ggsbudget.NewTable(limits())
	for range 2 {
		_, _, err := b.Open(begin, calls)
		c.Assert(err, qt.IsNil)
	}
	_, _, err := b.Open(begin.Add(time.Minute), calls)
	r, ok := full(err)
	c.Assert(ok && r == ggsbudget.ResourceConns, qt.IsTrue)
}

func TestIdleConnectionsGoLast(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := ggsbudget.NewTable(limits())
	idle := open(c, b, begin, calls)
	b.Wait(begin, idle, ggsbudget.WaitIdle)
	silent := open(c, b, begin.Add(time.Second), calls)
	_, victims, err := b.Open(begin.Add(2*time.Second), calls)
	c.Assert(err, qt.IsNil)
	c.Assert(slices.Equal(victims, []*ggsbudget.Holder{silent}), qt.IsTrue)
}

// Guards against a listener's crowd that takes the connections of another.
func TestClassesHaveConnectionsOfTheirOwn(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := ggsbudget.NewTable(limits())
	for range 10 {
		open(c, b, begin, callers)
	}
	open(c, b, begin, calls)
}

// Guards against bodies that leave no memory for the heads of others, and against those that stop short and keep theirs.
func TestBodiesLeaveRoomAndGiveWay(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := ggsbudget.NewTable(limits())
	var hs []*ggsbudget.Holder
	for range 3 {
		h := open(c, b, begin, callers)
		b.Wait(begin, h, ggsbudget.WaitBody)
		hs = append(hs, h)
		_, err := b.Draw(begin, h, ggsbudget.KindBody, 1_900)
		c.Assert(err, qt.IsNil)
	}
	last := open(c, b, begin, callers)
	victims, err := b.Draw(begin, last, ggsbudget.KindBody, 1_000)
	_, ok := full(err)
	c.Assert(ok, qt.IsTrue)
	c.Assert(victims, qt.HasLen, 0)
	_, err = b.Draw(begin, last, ggsbudget.KindHead, 3_000)
	c.Assert(err, qt.IsNil)

	b.Advance(begin.Add(900*time.Millisecond), hs[0], 2_000)
	victims, err = b.Draw(begin.Add(1_500*time.Millisecond), last, ggsbudget.KindBody, 1_000)
	c.Assert(slices.Equal(victims, []*ggsbudget.Holder{hs[1]}), qt.IsTrue)
	c.Assert(victims[0].Interrupted, qt.IsTrue)
	_, ok = full(err)
	c.Assert(ok, qt.IsTrue)
	b.End(hs[1])
	_, err = b.Draw(begin.Add(1_500*time.Millisecond), last, ggsbudget.KindBody, 1_000)
	c.Assert(err, qt.IsNil)
}

// Guards against a client that keeps what it has by sending a byte now and then.
func TestTrickleIsNoProgress(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := ggsbudget.NewTable(limits())
	h := open(c, b, begin, calls)
	b.Work(open(c, b, begin, calls))
	for n := range 20 {
		b.Advance(begin.Add(time.Duration(n)*100*time.Millisecond), h, 1)
	}
	_, victims, err := b.Open(begin.Add(2*time.Second), calls)
	c.Assert(err, qt.IsNil)
	c.Assert(slices.Equal(victims, []*ggsbudget.Holder{h}), qt.IsTrue)
}

// Guards against clients that take all places in flight by not reading their answers.
func TestPlacesInFlight(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := ggsbudget.NewTable(limits())
	var hs []*ggsbudget.Holder
	for range 3 {
		h := open(c, b, begin, callers)
		_, err := b.Begin(begin, h)
		c.Assert(err, qt.IsNil)
		b.Wait(begin, h, ggsbudget.WaitAnswer)
		hs = append(hs, h)
	}
	last := open(c, b, begin, callers)
	b.Work(last)
	_, err := b.Begin(begin.Add(time.Second), last)
	r, ok := full(err)
	c.Assert(ok && r == ggsbudget.ResourceRequests, qt.IsTrue)
	victims, err := b.Begin(begin.Add(3*time.Second), last)
	c.Assert(err, qt.IsNil)
	c.Assert(slices.Equal(victims, hs[:1]), qt.IsTrue)
}

// Guards against a few connections whose calls take all memory, so that others get no answer.
func TestGreedyConnectionsGiveWay(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := ggsbudget.NewTable(limits())
	var hs []*ggsbudget.Holder
	for n := range 3 {
		h := open(c, b, begin, callers)
		b.Wait(begin, h, ggsbudget.WaitIdle)
		_, err := b.Draw(begin, h, ggsbudget.KindHead, 2_500+int64(n)*500)
		c.Assert(err, qt.IsNil)
		hs = append(hs, h)
	}
	last := open(c, b, begin, callers)
	victims, err := b.Draw(begin, last, ggsbudget.KindHead, 1_000)
	c.Assert(err, qt.IsNil)
	c.Assert(slices.Equal(victims, hs[2:]), qt.IsTrue)
	_, err = b.Draw(begin, hs[0], ggsbudget.KindHead, 4_000)
	_, ok := full(err)
	c.Assert(ok, qt.IsTrue)
}

// Guards against an account that doesn't come back to zero.
func TestAllIsGivenBack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := ggsbudget.NewTable(limits())
	var hs []*ggsbudget.Holder
	for n := range 6 {
		h := open(c, b, begin, callers)
		_, err := b.Draw(begin, h, ggsbudget.KindHead, 500)
		c.Assert(err, qt.IsNil)
		_, err = b.Draw(begin, h, ggsbudget.KindBody, 400)
		c.Assert(err, qt.IsNil)
		_, err = b.Hold(begin, h, 30)
		c.Assert(err, qt.IsNil)
		_, _ = b.Begin(begin, h) // the fourth is refused
		b.Return(h, ggsbudget.KindBody, 100)
		if n%2 == 0 {
			b.End(h)
		}
		hs = append(hs, h)
	}
	for _, h := range hs {
		b.Close(h)
		b.Close(h)
		_, err := b.Draw(begin, h, ggsbudget.KindHead, 1)
		c.Assert(err, qt.IsNotNil)
	}
	c.Assert(b.Usage(), qt.Equals, ggsbudget.Usage{})
}
