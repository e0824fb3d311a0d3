package ggsnode_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakeengine"
)

// leavingBound limits the time until a dispatcher knows that an endpoint is leaving.
const leavingBound = 3 * time.Second

// Guards against requests that are dispatched to a runner after the platform has listed it as
// leaving, and are cut off when its VM is removed; and against running requests that are cut off
// while the VM still exists.
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
	b.eventually("the dispatcher knows that the endpoint is leaving", func() bool { return b.leaving(d, string(b.vms[leaving].ID)) })
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

// Guards against requests that are refused for good, dispatched without their adapter or answered
// by another adapter, after a runner has restarted empty and its first loads fail.
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
	b.eventually("two requests are queued", func() bool { return b.jobCount(d, "queued") == 2 })
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
