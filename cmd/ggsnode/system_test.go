package ggsnode_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakeengine"
	"greengageslip/fakes/ggsfakeplain"
	"greengageslip/fakes/ggsfakeplatform"
)

const (
	chatPath    = "/v1/chat/completions"
	releasePath = "/v1/services/custodia/release"
)

func chat(model string) string { return chatOf(model, 8) }

func chatOf(model string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hola"}]}`, model, tokens)
}

// A failureBody is the JSON body of a refusal or an error event.
type failureBody struct {
	Error struct {
		Type      string `json:"type"`
		Outcome   string `json:"outcome"`
		RequestID string `json:"requestId"`
	} `json:"error"`
}

func failureOf(c *qt.C, text string) failureBody {
	var f failureBody
	c.Assert(json.Unmarshal([]byte(text), &f), qt.IsNil, qt.Commentf("%s", text))
	return f
}

// checkComplete checks that a streamed answer is complete and in order, and that it answers the
// caller's request.
func checkComplete(c *qt.C, h http.Header, text, adapter string, tokens int) {
	c.Assert(h.Get("X-Served-Model"), qt.Equals, adapter, qt.Commentf("%s", text))
	id := h.Get("X-Request-Id")
	c.Assert(id, qt.Not(qt.Equals), "")
	at := 0
	for i := range tokens {
		want := fmt.Sprintf("%s/%s/%d ", adapter, id, i)
		n := strings.Index(text[at:], want)
		c.Assert(n >= 0, qt.IsTrue, qt.Commentf("no token %q in %s", want, text))
		at += n + len(want)
	}
	c.Assert(strings.Count(text, "chat.completion.chunk"), qt.Equals, tokens, qt.Commentf("%s", text))
	c.Assert(strings.HasSuffix(text, "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf("%s", text))
}

func TestStreamedAnswer(t *testing.T) {
	t.Parallel()
	c, b, _, g := modelDeployment(t, nil)
	for model, want := range map[string]string{"deposits": "deposits@v1", "deposits@v2": "deposits@v2", "disputes@v7": "disputes@v7"} {
		status, h, text := b.post(g, chatPath, chat(model))
		c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
		checkComplete(c, h, text, want, 8)
	}
}

// Guards against callers that get each other's answers, because requests in progress share a
// connection between gateway and dispatcher and their chunks are mixed up.
func TestManyCallersGetTheirOwnCompleteAnswers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestDeployment(t)
	b.engine("runner-1", "a", nil)
	b.engine("runner-2", "a", nil)
	b.document()
	b.dispatcher(1, "a")
	gateways := []*node{b.gateway(1, "a"), b.gateway(2, "a")}
	models := []string{"deposits@v1", "deposits@v2", "disputes@v7"}
	var w sync.WaitGroup
	for i := range 60 {
		w.Go(func() {
			m := models[i%len(models)]
			status, h, text := b.post(gateways[i%2], chatPath, chatOf(m, 5+i%7))
			c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
			if status == http.StatusOK {
				checkComplete(c, h, text, m, 5+i%7)
			}
		})
	}
	w.Wait()
}

// Guards against requests that are served by v1 after the change of the current version to v2 has
// been accepted.
func TestVersionChangeComesIntoForce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestDeployment(t)
	b.engine("runner-1", "a", nil)
	b.document()
	b.dispatcher(1, "a")
	b.dispatcher(2, "a")
	g := b.gateway(1, "a")
	_, h, _ := b.post(g, chatPath, chat("deposits"))
	c.Assert(h.Get("X-Served-Model"), qt.Equals, "deposits@v1")
	b.apply("market/cr", strings.Replace(marketSection, `current = "v1"`, `current = "v2"`, 1))
	accepted := time.Now()
	b.eventually("v2 is in force", func() bool {
		_, h, _ := b.post(g, chatPath, chat("deposits"))
		return h.Get("X-Served-Model") == "deposits@v2"
	})
	c.Check(time.Since(accepted) < 3*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(accepted)))
	_, h, _ = b.post(g, chatPath, chat("deposits@v1"))
	c.Assert(h.Get("X-Served-Model"), qt.Equals, "deposits@v1")
}

func TestBadInput(t *testing.T) {
	t.Parallel()
	b := newTestDeployment(t)
	b.engine("runner-1", "a", nil)
	b.plain("ledger-1", "a")
	b.document()
	b.apply("market/small", strings.Replace(marketSection, "weight = 1", "weight = 1\nrequestsPerSecond = 0.001\nburst = 1", 1))
	b.dispatcher(1, "a")
	g := b.gateway(1, "a")
	status, _, _ := b.post(g, chatPath, chat("deposits"), "X-Market", "small")
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	for name, tc := range map[string]struct {
		path    string
		body    string
		headers []string
		status  int
		kind    string
		retry   bool
	}{
		"unknown adapter":   {chatPath, chat("nobody"), nil, 404, "unknownAdapter", false},
		"unknown version":   {chatPath, chat("deposits@v9"), nil, 404, "unknownAdapter", false},
		"unknown market":    {chatPath, chat("deposits"), []string{"X-Market", "mars"}, 404, "unknownMarket", false},
		"unknown service":   {chatPath, chat("deposits"), []string{"X-Service", "none"}, 404, "unknownService", false},
		"unknown operation": {"/v1/services/custodia/none", "{}", nil, 404, "unknownService", false},
		"unknown path":      {"/v2", "{}", nil, 404, "unknownService", false},
		"malformed body":    {chatPath, "{", nil, 400, "badRequest", false},
		"no model":          {chatPath, "{}", nil, 400, "badRequest", false},
		"too large":         {chatPath, `{"model":"` + strings.Repeat("x", 70000) + `"}`, nil, 413, "tooLarge", false},
		"over the limit":    {chatPath, chat("deposits"), []string{"X-Market", "small"}, 429, "overLimit", true},
		"key needed":        {releasePath, "{}", nil, 400, "badRequest", false},
		"key without time":  {releasePath, "{}", []string{"Idempotency-Key", "abc"}, 400, "badRequest", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			status, h, text := b.post(g, tc.path, tc.body, tc.headers...)
			c.Assert(status, qt.Equals, tc.status, qt.Commentf("%s", text))
			f := failureOf(c, text)
			c.Assert(f.Error.Type, qt.Equals, tc.kind)
			c.Assert(f.Error.Outcome, qt.Equals, "notRun")
			c.Assert(f.Error.RequestID, qt.Not(qt.Equals), "")
			c.Assert(h.Get("Retry-After") != "", qt.Equals, tc.retry)
		})
	}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func runsOf(s *ggsfakeplain.Service, key string) int {
	n := 0
	for r, k := range s.Runs() {
		if r.Key == key {
			n += k
		}
	}
	return n
}

// Guards against a non-idempotent call that runs twice, because its caller repeats it at another
// gateway while the first is in progress.
func TestNonIdempotentCallRunsOnceOverAllGateways(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestDeployment(t)
	ledgers := []*ggsfakeplain.Service{b.plain("ledger-1", "a"), b.plain("ledger-2", "b")}
	b.document()
	b.dispatcher(1, "a")
	b.dispatcher(2, "b")
	gateways := []*node{b.gateway(1, "a"), b.gateway(2, "b")}
	key := newKey()
	var w sync.WaitGroup
	for i := range 8 {
		w.Go(func() {
			status, _, text := b.post(gateways[i%2], releasePath, `{"deposit":1}`, "Idempotency-Key", key)
			c.Check(status == http.StatusOK || status == http.StatusConflict, qt.IsTrue, qt.Commentf("%d %s", status, text))
		})
	}
	w.Wait()
	c.Assert(runsOf(ledgers[0], key)+runsOf(ledgers[1], key), qt.Equals, 1)

	// After it has been recorded, the outcome is replayed at either gateway.
	for _, g := range gateways {
		b.eventually("the outcome is replayed", func() bool {
			status, _, _ := b.post(g, releasePath, `{"deposit":1}`, "Idempotency-Key", key)
			return status == http.StatusOK
		})
	}
	c.Assert(runsOf(ledgers[0], key)+runsOf(ledgers[1], key), qt.Equals, 1)
	status, _, text := b.post(gateways[0], releasePath, `{"deposit":2}`, "Idempotency-Key", key)
	c.Assert(status, qt.Equals, http.StatusUnprocessableEntity)
	c.Assert(failureOf(c, text).Error.Type, qt.Equals, "keyReused")
}

// Guards against a non-idempotent call that runs twice: the answer of its endpoint is lost, and
// an outcome of notRun makes the caller repeat the call.
func TestLostAnswerIsUnknownAndNeverRunsAgain(t *testing.T) {
	t.Parallel()
	c, b, ledger, g := plainDeployment(t)
	ledger.SetFaults(ggsfakeplain.Faults{LoseAnswers: 1})
	key := newKey()
	status, _, text := b.post(g, releasePath, `{"deposit":1}`, "Idempotency-Key", key)
	c.Assert(status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", text))
	c.Assert(failureOf(c, text).Error.Outcome, qt.Equals, "unknown")
	for range 3 {
		status, _, text = b.post(g, releasePath, `{"deposit":1}`, "Idempotency-Key", key)
		c.Assert(status, qt.Equals, http.StatusConflict, qt.Commentf("%s", text))
		c.Assert(failureOf(c, text).Error.Outcome, qt.Equals, "unknown")
	}
	c.Assert(runsOf(ledger, key), qt.Equals, 1)
}

// Guards against a call that gets no answer or runs twice after its endpoint has refused it without
// running it. The call must be retried under the same claim and run once.
func TestRefusedCallIsSentAgainUnderItsClaim(t *testing.T) {
	t.Parallel()
	c, b, ledger, g := plainDeployment(t)
	ledger.SetFaults(ggsfakeplain.Faults{Refuse: 1})
	key := newKey()
	b.eventually("the call is answered", func() bool {
		status, _, text := b.post(g, releasePath, `{"deposit":1}`, "Idempotency-Key", key)
		if status != http.StatusOK {
			c.Check(failureOf(c, text).Error.Outcome, qt.Equals, "notRun", qt.Commentf("%s", text))
		}
		return status == http.StatusOK
	})
	c.Assert(runsOf(ledger, key), qt.Equals, 1)
}

// Guards against a non-idempotent call that runs without a claim while the platform is
// unavailable, and against the refusal of calls that need no claim.
func TestPlatformOutageRefusesOnlyCallsThatNeedAClaim(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestDeployment(t)
	ledger := b.plain("ledger-1", "a")
	b.engine("runner-1", "a", nil)
	b.document()
	b.dispatcher(1, "a")
	g := b.gateway(1, "a")
	status, _, text := b.post(g, chatPath, chat("deposits"))
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	b.platform.SetFaults(ggsfakeplatform.Faults{Outage: true})
	key := newKey()
	began := time.Now()
	status, h, text := b.post(g, releasePath, `{"deposit":1}`, "Idempotency-Key", key, "Idempotency-First-Send", "true")
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", text))
	c.Assert(failureOf(c, text).Error.Outcome, qt.Equals, "notRun")
	// Without the first-send header, an earlier attempt may have run.
	status, _, text = b.post(g, releasePath, `{"deposit":1}`, "Idempotency-Key", newKey())
	c.Assert(status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", text))
	c.Assert(failureOf(c, text).Error.Outcome, qt.Equals, "unknown")
	c.Assert(h.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Assert(time.Since(began) < 3*time.Second, qt.IsTrue)
	c.Assert(runsOf(ledger, key), qt.Equals, 0)
	status, h, text = b.post(g, chatPath, chat("deposits"))
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	checkComplete(c, h, text, "deposits@v1", 8)
	status, _, text = b.post(g, "/v1/services/custodia/balance", "{}")
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))

	b.platform.SetFaults(ggsfakeplatform.Faults{})
	b.eventually("the release runs", func() bool {
		status, _, _ := b.post(g, releasePath, `{"deposit":1}`, "Idempotency-Key", key)
		return status == http.StatusOK
	})
	c.Assert(runsOf(ledger, key), qt.Equals, 1)
}

// Guards against a truncated answer that looks complete, because the engine's connection breaks
// and the stream ends without an error event.
func TestCutStreamEndsInAnErrorEvent(t *testing.T) {
	t.Parallel()
	c, b, e, g := modelDeployment(t, nil)
	status, _, text := b.post(g, chatPath, chat("deposits"))
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	e.SetFaults(ggsfakeengine.Faults{CutStreamAfter: 3})
	status, _, text = b.post(g, chatPath, chat("deposits"))
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	at := strings.Index(text, "event: error\ndata: ")
	c.Assert(at > 0, qt.IsTrue, qt.Commentf("%s", text))
	c.Assert(strings.Contains(text, "[DONE]"), qt.IsFalse)
	f := failureOf(c, strings.TrimPrefix(text[at:], "event: error\ndata: "))
	c.Assert(f.Error.Outcome, qt.Equals, "unknown")
}

// Guards against refused requests after an engine has restarted empty, while its owner still has
// its adapters as resident.
func TestColdStartIsServed(t *testing.T) {
	t.Parallel()
	c, b, e, g := modelDeployment(t, nil)
	for range 3 {
		status, h, text := b.post(g, chatPath, chat("deposits"))
		c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
		checkComplete(c, h, text, "deposits@v1", 8)
		e.Restart()
	}
}

// Guards against a slot that stays in use until the end of a long answer whose caller has closed
// the connection.
func TestCancelledCallerFreesItsSlot(t *testing.T) {
	t.Parallel()
	c, b, e, g := modelDeployment(t, func(o *ggsfakeengine.Options) {
		o.TokenInterval = 5 * time.Millisecond
	})
	r, cancel := b.open(g, chatPath, chatOf("deposits", 100000))
	_, err := r.ReadString('\n')
	c.Assert(err, qt.IsNil)
	cancel()
	b.eventually("the run is cancelled", func() bool { return e.Stats().Cancelled == 1 })
}

// Guards against a planned stop of a dispatcher that cuts off relayed answers or loses queued
// requests.
func TestDispatcherDrains(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestDeployment(t)
	b.engine("runner-1", "a", func(o *ggsfakeengine.Options) { o.TokenInterval = 10 * time.Millisecond })
	b.document()
	nodes := []*node{b.dispatcher(1, "a"), b.dispatcher(2, "a")}
	g := b.gateway(1, "a")
	var w sync.WaitGroup
	for range 8 {
		w.Go(func() {
			status, h, text := b.post(g, chatPath, chatOf("deposits@v1", 100))
			c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
			if status == http.StatusOK {
				checkComplete(c, h, text, "deposits@v1", 100)
			}
		})
	}
	b.eventually("all slots are in use", func() bool {
		return b.engines["runner-1"].Stats().Started >= 4
	})
	b.vms[1].State = ggscore.VMLeaving
	b.platform.SetVMs(append([]ggscore.VM(nil), b.vms...))
	c.Assert(nodes[0].stop(), qt.Equals, 0)
	w.Wait()
	status, _, text := b.post(g, chatPath, chat("deposits"))
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	c.Assert(b.engines["runner-1"].Stats().BrokenByUnload, qt.Equals, uint64(0))
}

// Guards against a planned stop of a gateway that cuts off its callers' answers.
func TestGatewayDrains(t *testing.T) {
	t.Parallel()
	c, b, e, g := modelDeployment(t, func(o *ggsfakeengine.Options) { o.TokenInterval = 5 * time.Millisecond })
	var w sync.WaitGroup
	w.Go(func() {
		status, h, text := b.post(g, chatPath, chatOf("deposits@v1", 100))
		c.Check(status, qt.Equals, http.StatusOK)
		checkComplete(c, h, text, "deposits@v1", 100)
	})
	b.eventually("the request runs", func() bool { return e.Stats().Started == 1 })
	c.Assert(g.stop(), qt.Equals, 0)
	w.Wait()
}

// Guards against a region without runners that refuses its callers although another region can
// serve them.
func TestAnotherRegionServes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestDeployment(t)
	b.engine("runner-1", "b", nil)
	b.document()
	b.dispatcher(1, "a")
	b.dispatcher(2, "b")
	g := b.gateway(1, "a")
	status, h, text := b.post(g, chatPath, chat("deposits"))
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	checkComplete(c, h, text, "deposits@v1", 8)
}

// Guards against requests that stall before the replacement of an entry VM. Gateways send nothing
// to a dispatcher that is listed as leaving, so it must hand over its runners before its stop.
func TestListedLeavingDispatcherHandsOver(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestDeployment(t)
	e := b.engine("runner-1", "a", func(o *ggsfakeengine.Options) { o.TokenInterval = 10 * time.Millisecond })
	b.document()
	first := b.dispatcher(1, "a")
	g := b.gateway(1, "a")
	second := b.dispatcher(2, "a")
	b.eventually("the first dispatcher knows the second", func() bool {
		_, _, text := b.get("http://" + first.state.String() + "/state")
		return strings.Contains(text, `"vm": "a-2"`)
	})
	var w sync.WaitGroup
	w.Go(func() {
		status, h, text := b.post(g, chatPath, chatOf("deposits@v1", 100))
		c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
		checkComplete(c, h, text, "deposits@v1", 100)
	})
	b.eventually("a request runs", func() bool { return e.Stats().Started == 1 })
	for i := range b.vms {
		if b.vms[i].ID == "a-1" {
			b.vms[i].State = ggscore.VMLeaving
		}
	}
	b.platform.SetVMs(append([]ggscore.VM(nil), b.vms...))
	listed := time.Now()
	b.eventually("the second dispatcher serves", func() bool {
		status, _, _ := b.post(g, chatPath, chat("deposits"))
		return status == http.StatusOK && b.counter(second, "submitted") > 0
	})
	c.Check(time.Since(listed) < 3*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(listed)))
	taken := b.counter(first, "submitted")
	for range 3 {
		status, _, text := b.post(g, chatPath, chat("deposits"))
		c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	}
	c.Assert(b.counter(first, "submitted"), qt.Equals, taken)
	w.Wait()
	c.Assert(e.Stats().BrokenByUnload, qt.Equals, uint64(0))
}
