package ggsgateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/gin-gonic/gin"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsanswer"
)

// Guards against an answer that reaches the caller with chunks missing or repeated. It
// happens when a reply from the dispatcher is processed twice and the next one is lost.
func TestChunksOutOfOrderAreNotForwarded(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct{ first, second int }{
		"skipped":  {0, 2},
		"repeated": {0, 0},
		"late":     {1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := httptest.NewRecorder()
			g, _ := gin.CreateTestContext(w)
			a := &answer{c: g, stream: true}
			err := a.add(ggscore.Chunk{Seq: tc.first, Status: http.StatusOK, Data: []byte("a")}, 0)
			if err == nil {
				err = a.add(ggscore.Chunk{Seq: tc.second, Data: []byte("b")}, 0)
			}
			var p *ChunkOrderError
			c.Assert(errors.As(err, &p), qt.IsTrue)
			c.Assert(w.Body.String(), qt.Not(qt.Contains), "b")
		})
	}
}

// Guards against a status that callers take for a promise although their request may have run.
func TestStatusPromisesOnlyWhatTheOutcomeDoes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, k := range []ggscore.FailureKind{
		ggscore.FailureOverLimit, ggscore.FailureNoCapacity, ggscore.FailureStopping, ggscore.FailurePlatformUnavailable, ggscore.FailureNoDocument,
		ggscore.FailureNotOwner, ggscore.FailureAdapterMissing, ggscore.FailureCancelled, ggscore.FailureQuarantined, ggscore.FailureEndpoint, ggscore.FailureBroken,
	} {
		for _, o := range []ggscore.Outcome{ggscore.OutcomeUnknown, ggscore.OutcomeDone} {
			s := statusOf(&ggscore.Failure{Kind: k, Outcome: o})
			c.Check(ggsanswer.Promises(s), qt.IsFalse, qt.Commentf("%s, %s: %d", k, o, s))
		}
	}
	c.Check(statusOf(&ggscore.Failure{Kind: ggscore.FailureNoCapacity, Outcome: ggscore.OutcomeNotRun}), qt.Equals, http.StatusServiceUnavailable)
	c.Check(statusOf(&ggscore.Failure{Kind: ggscore.FailureOverLimit, Outcome: ggscore.OutcomeNotRun}), qt.Equals, http.StatusTooManyRequests)
	c.Check(statusOf(&ggscore.Failure{Kind: ggscore.FailureCancelled, Outcome: ggscore.OutcomeUnknown}), qt.Equals, http.StatusGatewayTimeout)
}

// Guards against a status that none can be, which callers got as 200.
func TestStatusThatNoneCanBeIsNoAnswer(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		status int
		fails  bool
	}{
		"000": {0, true}, "099": {99, true}, "101": {101, true}, "600": {600, true}, "negative": {-1, true},
		"200": {200, false}, "404": {404, false}, "599": {599, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := httptest.NewRecorder()
			g, _ := gin.CreateTestContext(w)
			a := &answer{c: g, stream: true}
			err := a.add(ggscore.Chunk{Status: tc.status, Data: []byte("a")}, 0)
			var s *ChunkStatusError
			c.Assert(errors.As(err, &s), qt.Equals, tc.fails)
			c.Assert(w.Body.String() == "", qt.Equals, tc.fails)
			c.Assert(tc.fails || w.Code == tc.status, qt.IsTrue)
		})
	}
}
