package ggsnode_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/cmd/ggsnode"
	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakelink"
	"greengageslip/fakes/ggsfakeplain"
	"greengageslip/fakes/ggsfakeplatform"
)

const (
	balancePath = "/v1/services/custodia/balance"
	// refusalBound limits the time until a request that can't run is refused.
	refusalBound = 3 * time.Second
	// applyBound limits the time from the end of a cut until an accepted change is in force.
	applyBound = 3 * time.Second
)

// Guards against three failures when a failure domain loses its link to the platform for longer
// than its leases: refused requests on resident adapters, calls that run without a claim or aren't
// refused at once, and an outdated document after the link has recovered.
func TestDomainCutOffFromPlatform(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]ggsfakelink.Faults{
		"stalled": {Stall: true},
		"refused": {Refuse: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestDeployment(t)
			b.engine("runner-1", "a", nil)
			ledger := b.plain("ledger-1", "a")
			b.document()
			l := b.link(linkPort, platformPort)
			nodes := []*node{b.dispatcherOverLink(1, "a"), b.dispatcherOverLink(2, "a")}
			v := b.gatewayVM(1, "a")
			v.platform = linkPort
			g := b.start(ggsnode.RunGateway, v)
			b.ready(g)
			b.requireComplete(b.startChat(g, "deposits@v1", 5))
			b.requireComplete(b.startChat(g, "disputes@v7", 5))

			l.SetFaults(fault)
			b.eventually("no lease is held", func() bool { return !b.ownsAll(nodes[0]) && !b.ownsAll(nodes[1]) })
			key := newKey()
			b.checkServedWithoutPlatform(g, ledger, key)
			b.apply("market/cr", strings.Replace(marketSection, `current = "v1"`, `current = "v2"`, 1))
			b.checkServedWithoutPlatform(g, ledger, key)

			l.SetFaults(ggsfakelink.Faults{})
			healed := time.Now()
			b.eventually("the change is in force", func() bool {
				_, h, _ := b.post(g, chatPath, chat("deposits"))
				return h.Get("X-Served-Model") == "deposits@v2"
			})
			qt.Check(t, time.Since(healed) < applyBound, qt.IsTrue, qt.Commentf("%s", time.Since(healed)))
			b.retryUntilRun(g, ledger, key)
		})
	}
}

// Guards against a platform outage, longer than any lease, that stops all domains, and against
// gateways and dispatchers started during the outage that get no document and serve no requests.
func TestPlatformUnavailableForAllDomains(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]ggsfakeplatform.Faults{
		"answers 503": {Outage: true},
		"hangs":       {Hang: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestDeployment(t)
			b.engine("runner-1", "a", nil)
			b.engine("runner-2", "b", nil)
			ledger := b.plain("ledger-1", "a")
			b.document()
			nodes := []*node{b.dispatcher(1, "a", shortLease), b.dispatcher(2, "b", shortLease)}
			gateways := []*node{b.gateway(1, "a"), b.gateway(2, "b")}
			for _, g := range gateways {
				b.requireComplete(b.startChat(g, "deposits@v1", 5))
				b.requireComplete(b.startChat(g, "disputes@v7", 5))
			}

			b.platform.SetFaults(fault)
			b.eventually("no lease is held", func() bool { return !b.ownsAll(nodes[0]) && !b.ownsAll(nodes[1]) })
			key := newKey()
			for _, g := range gateways {
				b.checkServedWithoutPlatform(g, ledger, key)
			}

			// A dispatcher that starts now knows only the seed of its settings, and a gateway
			// only that dispatcher, so document and list come from peers.
			late := b.dispatcher(3, "a", shortLease, fmt.Sprintf("dispatchers = [%q]", nodes[0].addr))
			b.eventually("the dispatcher has the document", func() bool { return b.counter(late, "revision") == 3 })
			b.eventually("the dispatcher has the list of VMs", func() bool {
				return len(b.dump(late).Parts.Dispatcher.Endpoints) == 2
			})
			g := b.start(ggsnode.RunGateway, b.gatewayVM(3, "a", fmt.Sprintf("dispatchers = [%q]", late.addr)))
			b.eventually("a gateway that starts now serves", func() bool {
				return b.await(b.startChat(g, "deposits@v1", 5)).status == http.StatusOK
			})
			b.checkServedWithoutPlatform(g, ledger, key)

			b.platform.SetFaults(ggsfakeplatform.Faults{})
			b.retryUntilRun(g, ledger, key)
		})
	}
}

// Guards against three failures if an owner is lost during a platform outage: truncated or
// delayed answers, endpoints without an owner after the outage, and a non-idempotent call that
// runs twice.
func TestOwnerKilledWhilePlatformUnavailable(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestDeployment(t)
	e := b.engine("runner-1", "a", slowTokens)
	ledger := b.plain("ledger-1", "a")
	b.document()
	first, second := b.ownerAndStandby(shortLease)
	g := b.gateway(1, "a")
	ledger.SetFaults(ggsfakeplain.Faults{Slow: 5 * time.Second})

	key := newKey()
	released := b.startRelease(g, key)
	b.eventually("the release runs", func() bool { return runsOf(ledger, key) == 1 })
	k := b.startChat(g, "deposits@v1", 2000)
	b.waitStarted(e, 1)
	b.platform.SetFaults(ggsfakeplatform.Faults{Outage: true})
	first.signal(syscall.SIGKILL)
	c.Check(outcomeOf(c, k, b.await(k)), qt.Equals, "unknown")
	c.Check(outcomeOf(c, released, b.await(released)), qt.Equals, "unknown")

	// No dispatcher can take over, so new requests are refused at once.
	began := time.Now()
	r := b.await(b.startChat(g, "deposits@v1", 5))
	c.Check(r.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", r.text))
	c.Check(failureOf(c, r.text).Error.Outcome, qt.Equals, "notRun")
	c.Check(r.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Check(time.Since(began) < refusalBound, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	c.Check(b.ownsAll(second), qt.IsFalse)

	b.platform.SetFaults(ggsfakeplatform.Faults{})
	b.eventually("the other dispatcher takes over", func() bool { return b.ownsAll(second) })
	b.eventually("requests are served", func() bool {
		k := b.startChat(g, "deposits@v1", 5)
		return outcomeOf(c, k, b.await(k)) == "done"
	})
	r = b.await(b.startRelease(g, key))
	c.Check(r.status, qt.Equals, http.StatusConflict, qt.Commentf("%s", r.text))
	c.Check(failureOf(c, r.text).Error.Outcome, qt.Equals, "unknown")
	c.Check(runsOf(ledger, key), qt.Equals, 1)
	c.Check(e.Stats().BrokenByUnload, qt.Equals, uint64(0))
}

// dispatcherOverLink starts a dispatcher that reaches the platform over the link.
func (b *testDeployment) dispatcherOverLink(n int, domain string) *node {
	v := b.dispatcherVM(n, domain, shortLease)
	v.platform = linkPort
	b.list(v.vm, ggscore.RoleEntry, domain, v.port, "")
	return b.start(ggsnode.RunDispatcher, v)
}

// checkServedWithoutPlatform checks that a gateway, while the platform is unreachable, serves
// resident adapters and calls without a claim, and refuses a call that needs one.
func (b *testDeployment) checkServedWithoutPlatform(g *node, ledger *ggsfakeplain.Service, key string) {
	b.c.Helper()
	b.requireComplete(b.startChat(g, "deposits@v1", 5))
	b.requireComplete(b.startChat(g, "disputes@v7", 5))
	status, _, text := b.post(g, balancePath, "{}")
	b.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	began := time.Now()
	r := b.await(b.startRelease(g, key, "Idempotency-First-Send", "true"))
	b.c.Assert(r.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", r.text))
	b.c.Assert(failureOf(b.c, r.text).Error.Outcome, qt.Equals, "notRun")
	b.c.Assert(r.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	b.c.Assert(time.Since(began) < refusalBound, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	b.c.Assert(runsOf(ledger, key), qt.Equals, 0)
}

// retryUntilRun repeats a refused non-idempotent call until it has run, and checks that it has
// run once.
func (b *testDeployment) retryUntilRun(g *node, ledger *ggsfakeplain.Service, key string) {
	b.c.Helper()
	b.eventually("the release runs", func() bool { return b.await(b.startRelease(g, key)).status == http.StatusOK })
	b.c.Assert(runsOf(ledger, key), qt.Equals, 1)
}

// Guards against a new owner that evicts an adapter in use by runs of the previous owner. The
// previous owner alone has lost its link to the platform for longer than its lease, and continues
// to serve resident adapters.
func TestOwnerCutOffAlone(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestDeployment(t)
	e := b.engine("runner-1", "a", slowTokens)
	b.document()
	l := b.link(linkPort, platformPort)
	first := b.dispatcherOverLink(1, "a")
	b.eventually("the first dispatcher owns the endpoints", func() bool { return b.ownsAll(first) })
	second := b.dispatcher(2, "a", shortLease)
	g := b.gateway(1, "a")
	calls := []*call{
		b.startChat(g, "deposits@v1", 500), b.startChat(g, "disputes@v7", 500),
		b.startChat(g, "deposits@v1", 500), b.startChat(g, "disputes@v7", 500),
	}
	b.waitStarted(e, 4)

	l.SetFaults(ggsfakelink.Faults{Refuse: true})
	b.eventually("the other dispatcher takes over", func() bool { return b.ownsAll(second) })
	c.Assert(b.ownsAll(first), qt.IsFalse)
	wanted := b.startChat(g, "deposits@v2", 5)
	calls = append(calls, b.startChat(g, "deposits@v1", 5), b.startChat(g, "disputes@v7", 5))
	for _, k := range calls {
		b.requireComplete(k)
	}
	l.SetFaults(ggsfakelink.Faults{})
	if r := b.await(wanted); outcomeOf(c, wanted, r) == "notRun" {
		c.Check(e.Runs()[r.header.Get("X-Request-Id")], qt.Equals, 0)
	}
	b.eventually("the pins end with the first owner's runs", func() bool {
		return b.await(b.startChat(g, "deposits@v2", 5)).status == http.StatusOK
	})
	c.Check(e.Stats().BrokenByUnload, qt.Equals, uint64(0))
}

// Guards against a non-idempotent call that runs twice: the answer to the write of its claim is
// lost, or the write takes effect late, and the call runs again under a second claim.
func TestLostAnswerToClaimsWrite(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]ggsfakeplatform.Faults{
		"answer lost":           {LoseWriteAnswers: 3, LosePrefix: "claims"},
		"effective later":       {DelayWrites: 3, Delay: 500 * time.Millisecond, LosePrefix: "claims"},
		"effective much later":  {DelayWrites: 1, Delay: 3 * time.Second, LosePrefix: "claims"},
		"slow answers":          {Slow: time.Second},
		"slow and lost answers": {Slow: 500 * time.Millisecond, LoseWriteAnswers: 1, LosePrefix: "claims"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			b := newTestDeployment(t)
			ledgers := []*ggsfakeplain.Service{b.plain("ledger-1", "a"), b.plain("ledger-2", "b")}
			b.document()
			b.dispatcher(1, "a")
			b.dispatcher(2, "b")
			gateways := []*node{b.gateway(1, "a"), b.gateway(2, "b")}
			b.platform.SetFaults(fault)
			var keys []string
			var calls []*call
			for i := range 4 {
				keys = append(keys, newKey())
				calls = append(calls, b.startRelease(gateways[i%2], keys[i]), b.startRelease(gateways[(i+1)%2], keys[i]))
			}
			for _, k := range calls {
				b.await(k)
			}
			if fault.LosePrefix != "" {
				c.Assert(b.platform.Calls().Failed > 0, qt.IsTrue)
			}
			b.platform.SetFaults(ggsfakeplatform.Faults{})
			for i, key := range keys {
				var r reply
				b.eventually("the outcome is known", func() bool {
					r = b.await(b.startRelease(gateways[i%2], key))
					return outcomeOf(c, &call{}, r) != "notRun"
				})
				n := runsOf(ledgers[0], key) + runsOf(ledgers[1], key)
				c.Check(n == 1 || (n == 0 && r.status != http.StatusOK), qt.IsTrue, qt.Commentf("%d runs, %s", n, r.text))
			}
		})
	}
}
