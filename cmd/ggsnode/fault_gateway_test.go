package ggsnode_test

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/cmd/ggsnode"
	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakeengine"
	"greengageslip/fakes/ggsfakelink"
	"greengageslip/fakes/ggsfakeplain"
	"greengageslip/io/ggsrpc"
	"greengageslip/io/ggswire"
)

// linkPort is the port of the proxy links.
const linkPort = 7400

// Guards against requests of a lost gateway that keep their slots until their unread answers
// end, and against a non-idempotent call in progress that runs again when its caller repeats it
// at another gateway.
func TestGatewayKilled(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestDeployment(t)
	e := b.engine("runner-1", "a", slowTokens)
	ledger := b.plain("ledger-1", "a")
	b.document()
	d := b.dispatcher(1, "a")
	lost := b.gatewayProcess(1, "a")
	other := b.gateway(2, "a")
	ledger.SetFaults(ggsfakeplain.Faults{Slow: 2 * time.Second})

	key := newKey()
	b.startRelease(&lost.node, key)
	for i := range 4 {
		b.startChat(&lost.node, []string{"deposits@v1", "disputes@v7"}[i%2], 100000)
	}
	b.waitStarted(e, 4)
	b.eventually("the release runs", func() bool { return runsOf(ledger, key) == 1 })
	lost.signal(syscall.SIGKILL)

	b.eventually("the release ends", func() bool { return b.counter(d, "done") == 1 })
	r := b.await(b.startRelease(other, key))
	c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.text))
	c.Assert(strings.Contains(r.text, key), qt.IsTrue, qt.Commentf("%s", r.text))
	c.Assert(runsOf(ledger, key), qt.Equals, 1)

	b.eventually("the slots are free", func() bool { return e.Stats().Cancelled == 4 })
	b.requireComplete(b.startChat(other, "deposits@v1", 5))
}

// Guards against an answer with missing or repeated chunks, or a truncated one that looks
// complete, if the link between gateway and dispatcher fails while the answer is relayed.
func TestCutBetweenGatewayAndDispatcher(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		fault ggsfakelink.Faults
		// recovers reports whether the link works again while the gateway still retries.
		recovers bool
		want     string
	}{
		"refused briefly":  {ggsfakelink.Faults{Refuse: true}, true, "done"},
		"stalled briefly":  {ggsfakelink.Faults{Stall: true}, true, "done"},
		"refused for long": {ggsfakelink.Faults{Refuse: true}, false, "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			b := newTestDeployment(t)
			e := b.engine("runner-1", "a", slowTokens)
			b.document()
			l := b.link(linkPort, rpcPort+1)
			b.list("a-1", ggscore.RoleEntry, "a", linkPort, "")
			d := b.start(ggsnode.RunDispatcher, b.dispatcherVM(1, "a"))
			g := b.gateway(1, "a")

			const tokens = 200
			k, first := b.startChatStream(g, "deposits@v1", tokens)
			c.Assert(strings.HasPrefix(first, "data: "), qt.IsTrue)
			l.SetFaults(tc.fault)
			if tc.recovers {
				// The dispatcher buffers the chunks that the engine sends during the cut.
				b.eventually("the engine ends the run", func() bool { return e.Stats().Done == 1 && b.counter(d, "done") == 1 })
				l.SetFaults(ggsfakelink.Faults{})
			}
			c.Assert(outcomeOf(c, k, b.await(k)), qt.Equals, tc.want)
			l.SetFaults(ggsfakelink.Faults{})
			if tc.recovers && tc.fault.Refuse {
				c.Assert(b.counter(g, "resumed") > 0, qt.IsTrue)
			}
			b.eventually("requests are served", func() bool {
				k := b.startChat(g, "deposits@v1", 5)
				return outcomeOf(c, k, b.await(k)) == "done"
			})
		})
	}
}

// startChatStream sends a streamed chat request and returns after its first line; the rest is
// read in the background.
func (b *testDeployment) startChatStream(g *node, model string, tokens int) (k *call, first string) {
	b.c.Helper()
	k = &call{model: model, tokens: tokens, done: make(chan reply, 1)}
	lines := make(chan string, 1)
	go func() {
		r, err := http.NewRequestWithContext(b.ctx, http.MethodPost, "http://"+g.addr.String()+chatPath, strings.NewReader(chatOf(model, tokens)))
		if err != nil {
			return
		}
		r.Header.Set("X-Market", "cr")
		r.Header.Set("X-Service", "asistente")
		a, err := http.DefaultClient.Do(r)
		if err != nil {
			k.done <- reply{text: err.Error()}
			return
		}
		defer func() { _ = a.Body.Close() }()
		body := bufio.NewReader(a.Body)
		line, _ := body.ReadString('\n')
		lines <- line
		var rest strings.Builder
		_, err = body.WriteTo(&rest)
		text := line + rest.String()
		if err != nil {
			text += "\n" + err.Error()
		}
		k.done <- reply{status: a.StatusCode, header: a.Header, text: text}
	}()
	ctx, cancel := context.WithTimeout(b.ctx, testDeadline)
	defer cancel()
	select {
	case first = <-lines:
	case <-ctx.Done():
		b.c.Fatalf("timed out waiting for an answer's first line")
	}
	return k, first
}

// Guards against a withdrawn request that runs. A gateway abandons a submission to an overloaded
// dispatcher, withdraws it over a new connection and answers notRun; then the dispatcher reads
// the submission from the buffer of the first connection.
func TestLateSubmissionOfWithdrawnRequest(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestDeployment(t)
	e := b.engine("runner-1", "a", func(o *ggsfakeengine.Options) { o.FirstToken = 0 })
	ledger := b.plain("ledger-1", "a")
	b.document()
	d := b.dispatcher(1, "a")
	g := b.gateway(1, "a")
	p := ggsrpc.NewPool(ggsrpc.PoolOptions{})
	defer func() { _ = p.Close() }()

	key := newKey()
	late := &ggscore.Request{
		ID: "late", Market: "cr", Service: "custodia", Kind: ggscore.KindPlain,
		Operation: ggscore.Operation{Method: http.MethodPost, Path: "/release"},
		Key:       ggscore.IdempotencyKey(key), NonIdempotent: true, Body: []byte(`{"deposit":1}`),
	}
	var known ggswire.SummaryReply
	c.Assert(p.Call(b.ctx, d.addr, ggswire.MethodSummary, &ggswire.SummaryArgs{}, &known), qt.IsNil)
	incarnation := known.Summary.Incarnation
	var withdrawn ggswire.WithdrawReply
	c.Assert(p.Call(b.ctx, d.addr, ggswire.MethodWithdraw, &ggswire.WithdrawArgs{Incarnation: incarnation, ID: "late"}, &withdrawn), qt.IsNil)
	c.Assert(ggscore.Outcome(withdrawn.Outcome), qt.Equals, ggscore.OutcomeNotRun)
	args := ggswire.SubmitArgs{Incarnation: incarnation, Request: ggswire.FromRequest(late, 5*time.Second)}
	var submitted ggswire.SubmitReply
	c.Assert(p.Call(b.ctx, d.addr, ggswire.MethodSubmit, &args, &submitted), qt.IsNil)
	f := submitted.Failure.Failure()
	c.Assert(f != nil, qt.IsTrue)
	c.Assert(f.Outcome, qt.Equals, ggscore.OutcomeNotRun)

	// Later requests run, and the withdrawn request has not run.
	r := b.await(b.startRelease(g, newKey()))
	c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.text))
	b.requireComplete(b.startChat(g, "deposits@v1", 5))
	c.Assert(runsOf(ledger, key), qt.Equals, 0)
	c.Assert(e.Stats().Started, qt.Equals, uint64(1))
}
