package ggsexchange_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsclock"
	"greengageslip/io/ggsexchange"
)

const (
	linger = 200 * time.Millisecond
	// leaveAfter is when a caller gives up, and endAfter, within linger, when its endpoint ends the exchange.
	leaveAfter = 20 * time.Millisecond
	endAfter   = 60 * time.Millisecond
	// never is long after any linger.
	never = 10 * linger
	// maxReturn is the longest time that Do takes once a deadline has passed, on a busy machine.
	maxReturn = leaveAfter + linger/2
)

// Guards against a crash that nobody sees because the caller has left, and against work for nobody.
func TestExchangeLingers(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		// delay is when the endpoint ends the exchange, with the answer or, if it is empty, by a crash.
		delay  time.Duration
		answer string
		linger time.Duration
		// grown is the linger from when the caller has left on, zero if it stays.
		grown time.Duration
		kind  ggscore.FailureKind
	}{
		"crash":          {delay: endAfter, linger: linger, kind: ggscore.FailureBroken},
		"longer linger":  {delay: endAfter + linger, linger: linger / 2, grown: 3 * linger, kind: ggscore.FailureBroken},
		"answer":         {delay: endAfter, linger: linger, answer: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		"late crash":     {delay: never, linger: linger, kind: ggscore.FailureCancelled},
		"without linger": {delay: never, kind: ggscore.FailureCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := serve(t, func(int, *http.Request) string {
				time.AfterFunc(leaveAfter, cancel)
				select {
				case <-time.After(tc.delay): //nolint:forbidigo // the endpoint is slow in real time
				case <-t.Context().Done():
				}
				return tc.answer
			})
			p := pool(t)
			asked := 0
			a, err := p.Do(ctx, ggsexchange.Request{Addr: s.addr, Method: http.MethodGet, URI: "/", Host: "h", Linger: func() time.Duration {
				if asked++; asked > 1 {
					return max(tc.linger, tc.grown)
				}
				return tc.linger
			}})
			if tc.kind == "" {
				c.Assert(err, qt.IsNil)
				a.Close()
				c.Assert(p.OpenConns(s.addr), qt.Equals, 1)
				return
			}
			var call *ggscore.CallError
			c.Assert(errors.As(err, &call), qt.IsTrue)
			c.Assert(call.Kind, qt.Equals, tc.kind)
			c.Assert(call.NotSent, qt.IsFalse)
			c.Assert(p.OpenConns(s.addr), qt.Equals, 0)
		})
	}
}

// Guards against callers that wait beyond their time limit for an exchange that goes on, and crashes that are
// missed after it.
func TestAbandonedExchange(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		answer string
		err    error
	}{
		"crash":                {err: io.ErrUnexpectedEOF},
		"answer":               {answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		"crash after the head": {answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok", err: io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := serve(t, func(int, *http.Request) string {
				<-time.After(endAfter) //nolint:forbidigo // the endpoint is slow in real time
				return tc.answer
			})
			p := pool(t)
			ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
			defer cancel()
			ended := make(chan error, 1)
			begun := ggsclock.Boot()
			_, err := p.Do(ctx, ggsexchange.Request{
				Addr: s.addr, Method: http.MethodGet, URI: "/", Host: "h", Linger: func() time.Duration { return linger }, Abandoned: func(err error) { ended <- err },
			})
			c.Check(ggsclock.Boot().Sub(begun) < maxReturn, qt.IsTrue)
			var abandoned *ggsexchange.AbandonedError
			c.Assert(errors.As(err, &abandoned), qt.IsTrue)
			err = <-ended
			c.Assert(errors.Is(err, tc.err), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
