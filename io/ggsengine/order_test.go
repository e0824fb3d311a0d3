package ggsengine_test

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakebench"
	"greengageslip/fakes/ggsfakeengine"
	"greengageslip/io/ggsengine"
)

// Guards against an unload by a former owner that resumes after a pause. The engine must
// refuse the order, because the new owner has sent orders with a higher fencing token.
func TestOldFencingTokenIsRefused(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newFixture(c, func(o *ggsfakeengine.Options) { o.ChecksFence = true })
	ctx := ggsfakebench.Context(c)
	c.Assert(b.client.Load(ctx, b.addr, adapterA(), 7), qt.IsNil)
	err := b.client.Unload(ctx, b.addr, adapterA(), 6)
	var fenced *ggscore.FencedError
	c.Assert(errors.As(err, &fenced), qt.IsTrue)
	c.Assert(*fenced, qt.Equals, ggscore.FencedError{Have: 6, Seen: 7})
	c.Assert(b.engine.Resident(), qt.DeepEquals, []ggscore.AdapterRef{adapterA()})
	c.Assert(b.client.Unload(ctx, b.addr, adapterA(), 7), qt.IsNil)
	c.Assert(b.engine.Resident(), qt.HasLen, 0)
}

func TestRefusedOrders(t *testing.T) {
	t.Parallel()
	other := ggscore.AdapterRef{Name: "other", Version: "v1"}
	for name, tc := range map[string]struct {
		prepare func(*fixture)
		order   func(*qt.C, *fixture) error
		status  int
	}{
		"no slot": {
			prepare: func(b *fixture) { b.engine.Preload(other) },
			order:   func(c *qt.C, b *fixture) error { return b.client.Load(ggsfakebench.Context(c), b.addr, adapterA(), 1) },
			status:  http.StatusConflict,
		},
		"load fails": {
			prepare: func(b *fixture) { b.engine.SetFaults(ggsfakeengine.Faults{LoadFails: 1}) },
			order:   func(c *qt.C, b *fixture) error { return b.client.Load(ggsfakebench.Context(c), b.addr, adapterA(), 1) },
			status:  http.StatusInternalServerError,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			b := newFixture(c, func(o *ggsfakeengine.Options) { o.AdapterSlots = 1 })
			tc.prepare(b)
			var refused *ggscore.OrderRefusedError
			c.Assert(tc.order(c, b), qt.ErrorAs, &refused)
			c.Assert(refused.Status, qt.Equals, tc.status)
			for _, a := range b.engine.Resident() {
				c.Assert(a, qt.Equals, other)
			}
		})
	}
}

// Guards against a load that counts as failed because its answer was lost. The residency
// table would then lack an adapter that occupies a slot.
func TestOrderWithLostAnswerIsAmbiguous(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newFixture(c, nil)
	ctx := ggsfakebench.Context(c)
	b.engine.SetFaults(ggsfakeengine.Faults{LoseOrderAnswers: 1})
	var ambiguous *ggscore.AmbiguousOrderError
	c.Assert(b.client.Load(ctx, b.addr, adapterA(), 1), qt.ErrorAs, &ambiguous)
	c.Assert(ambiguous.Addr, qt.Equals, b.addr)
	c.Assert(b.engine.Resident(), qt.DeepEquals, []ggscore.AdapterRef{adapterA()})
}

// Guards against a server error of an intermediary that counts as the engine's refusal.
// The engine may have received the order.
func TestIntermediaryErrorIsAmbiguous(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := newRawEndpoint(c, func(int) (string, bool) {
		return "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 4\r\n\r\nlate", false
	})
	cl := newClient(c, ggsengine.DefaultSettings())
	var ambiguous *ggscore.AmbiguousOrderError
	c.Assert(cl.Load(ggsfakebench.Context(c), e.addr, adapterA(), 1), qt.ErrorAs, &ambiguous)
}

func TestInvalidReports(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"not JSON":     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n?",
		"bad adapter":  "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{\"loading\":[\"@v\"]}",
		"server error": "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
		"no answer":    "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := newRawEndpoint(c, func(int) (string, bool) { return text, true })
			cl := newClient(c, ggsengine.DefaultSettings())
			_, err := cl.Report(ggsfakebench.Context(c), e.addr)
			assertFailure(c, err, expectedFailure{false, ggscore.FailureEndpoint})
		})
	}
}
