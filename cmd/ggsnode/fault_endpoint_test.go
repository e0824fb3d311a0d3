package ggsnode_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakeengine"
)

// leavingWithin is how soon an endpoint that leaves gets no new work.
const leavingBound = 3 * time.Second

// The platform listed a runner as leaving, and some seconds later it was taken
// away beneath requests that had been sent to it after that. Or its running
// ones were cut off although it was still there.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestDeployment(t)
	engines := []*ggsfakeengine.Engine{b.engine("runner-1", "a", slowTokens), b.engine("runner-2", "a", slowTokens)}
	b.document()
	d := b.dispatcher(1, "a")
	g := b.gateway(1, "a")

	var calls []*call
	for range 4 {
		calls = append(calls, b.startChat(g, "deposits@v1", 500))
	}
	b.eventually("the requests run", func() bool { return engines[0].Stats().Started+engines[1].Stats().Started == 4 })
	leaving := 0
	if engines[1].Stats().Started > 0 {
		leaving = 1
	}
	started := engines[leaving].Stats().Started
	b.vms[leaving].State = ggscore.VMLeaving
	b.platform.SetVMs(append([]ggscore.VM(nil), b.vms...))
	listed := time.Now()
	b.eventually("the dispatcher knows", func() bool { return b.leaving(d, string(b.vms[leaving].ID)) })
	c.Assert(time.Since(listed) < leavingBound, qt.IsTrue, qt.Commentf("%s", time.Since(listed)))

	for i := range 12 {
		calls = append(calls, b.startChat(g, []string{"deposits@v1", "disputes@v7"}[i%2], 5))
	}
	for _, k := range calls {
		b.requireComplete(k)
	}
	c.Assert(engines[leaving].Stats().Started, qt.Equals, started)
	c.Assert(engines[leaving].Stats().Done, qt.Equals, started)
}

// A runner restarted with nothing loaded, and the first loads after that
// failed. Requests for its adapters were refused for good, or sent to it as if
// the loads had succeeded, or answered by another adapter.
func TestEngineRestartsAndLoadsFail(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestDeployment(t)
	e := b.engine("runner-1", "a", slowTokens)
	b.document()
	d := b.dispatcher(1, "a")
	g := b.gateway(1, "a")

	models := []string{"deposits@v1", "disputes@v7"}
	var calls []*call
	for i := range 4 {
		calls = append(calls, b.startChat(g, models[i%2], 300))
	}
	b.waitStarted(e, 4)
	for i := range 2 {
		calls = append(calls, b.startChat(g, models[i], 5))
	}
	b.eventually("two requests wait", func() bool { return b.jobCount(d, "queued") == 2 })
	e.SetFaults(ggsfakeengine.Faults{LoadFails: 3, LoseOrderAnswers: 1})
	e.Restart()
	for i := range 6 {
		calls = append(calls, b.startChat(g, models[i%2], 5))
	}
	for i, k := range calls {
		r := b.await(k)
		o := outcomeOf(c, k, r)
		if i < 4 {
			continue
		}
		if o != "done" {
			c.Check(o, qt.Equals, "notRun")
			c.Check(r.header.Get("Retry-After"), qt.Not(qt.Equals), "", qt.Commentf("%s", r.text))
			c.Check(e.Runs()[r.header.Get("X-Request-Id")], qt.Equals, 0)
		}
	}
	for _, m := range models {
		b.eventually("requests are served again", func() bool {
			k := b.startChat(g, m, 5)
			r := b.await(k)
			return outcomeOf(c, k, r) == "done" && r.status == http.StatusOK
		})
	}
	c.Check(e.Stats().BrokenByUnload, qt.Equals, uint64(0))
}
