package ggsnode_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakeengine"
	"greengageslip/fakes/ggsfakeplain"
	"greengageslip/io/ggsengine"
)

// slowTokens makes answers long enough that a fault occurs during them.
func slowTokens(o *ggsfakeengine.Options) { o.TokenInterval = 10 * time.Millisecond }

// Guards against three failures if an owner is lost while it relays answers: truncated answers
// that look complete, a next owner that evicts adapters that runs of the lost owner still use,
// and a non-idempotent call in progress that runs again when its caller repeats it.
func TestOwnerKilled(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestDeployment(t)
	e := b.engine("runner-1", "a", slowTokens)
	ledger := b.plain("ledger-1", "a")
	b.document()
	first, second := b.ownerAndStandby(shortLease)
	g := b.gateway(1, "a")
	ledger.SetFaults(ggsfakeplain.Faults{Slow: 2 * time.Second})

	key := newKey()
	released := b.startRelease(g, key)
	var calls []*call
	for i := range 4 {
		calls = append(calls, b.startChat(g, []string{"deposits@v1", "disputes@v7"}[i%2], 2000))
	}
	b.waitStarted(e, 4)
	for i := range 4 {
		calls = append(calls, b.startChat(g, []string{"deposits@v1", "deposits@v2"}[i%2], 5))
	}
	b.eventually("four requests run and four are queued", func() bool {
		return b.jobCount(&first.node, "queued") == 4 && runsOf(ledger, key) == 1
	})
	first.signal(syscall.SIGKILL)
	b.eventually("the other dispatcher takes over", func() bool { return b.ownsAll(second) })

	for _, k := range calls[:4] {
		c.Check(outcomeOf(c, k, b.await(k)), qt.Equals, "unknown")
	}
	for _, k := range calls[4:] {
		r := b.await(k)
		if o := outcomeOf(c, k, r); o == "notRun" {
			c.Check(e.Runs()[r.header.Get("X-Request-Id")], qt.Equals, 0)
		}
	}
	c.Check(outcomeOf(c, released, b.await(released)), qt.Equals, "unknown")
	for range 2 {
		r := b.await(b.startRelease(g, key))
		c.Check(r.status, qt.Equals, http.StatusConflict, qt.Commentf("%s", r.text))
		c.Check(failureOf(c, r.text).Error.Outcome, qt.Equals, "unknown")
	}
	c.Check(runsOf(ledger, key), qt.Equals, 1)

	b.requireComplete(b.startChat(g, "deposits@v1", 5))
	b.requireComplete(b.startChat(g, "disputes@v7", 5))
	c.Check(e.Stats().BrokenByUnload, qt.Equals, uint64(0))
}

// Guards against an owner that resumes after a freeze longer than its lease, when another has
// taken over, and acts on its old state: it evicts an adapter in use by the new owner's requests,
// or sends non-idempotent calls that callers have meanwhile repeated at another gateway.
func TestFrozenOwnerResumes(t *testing.T) {
	t.Parallel()
	for name, checks := range map[string]bool{"engines check fences": true, "engines ignore fences": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testFrozenOwnerResumes(t, checks)
		})
	}
}

func testFrozenOwnerResumes(t *testing.T, checksFence bool) {
	c := qt.New(t)
	b := newTestDeployment(t)
	e := b.engine("runner-1", "a", func(o *ggsfakeengine.Options) {
		o.TokenInterval, o.ChecksFence = 10*time.Millisecond, checksFence
	})
	ledger := b.plain("ledger-1", "a")
	b.document()
	if !checksFence {
		b.apply("services", strings.Replace(servicesSection, "checksFence = true", "checksFence = false", 1))
	}
	first, second := b.ownerAndStandby(shortLease)
	g := b.gateway(1, "a")
	ledger.SetFaults(ggsfakeplain.Faults{Slow: 3 * time.Second})

	// At the freeze, both adapters are in use, the load of a third is pending, and a fifth
	// release is queued behind four running ones.
	calls := []*call{
		b.startChat(g, "deposits@v1", 450), b.startChat(g, "deposits@v1", 450),
		b.startChat(g, "disputes@v7", 150), b.startChat(g, "disputes@v7", 150),
	}
	b.waitStarted(e, 4)
	waiting := []*call{b.startChat(g, "deposits@v2", 5), b.startChat(g, "deposits@v1", 5), b.startChat(g, "disputes@v7", 5)}
	var keys []string
	var releases []*call
	for i := range 5 {
		keys = append(keys, newKey())
		releases = append(releases, b.startRelease(g, keys[i]))
	}
	// A release whose claim is still being written at the freeze may end without a run, so the
	// freeze comes after the four releases have started.
	b.eventually("requests run and are queued at the first owner", func() bool {
		return len(ledger.Runs()) == 4 && b.jobCount(&first.node, "queued") == 4
	})
	first.signal(syscall.SIGSTOP)
	ledger.SetFaults(ggsfakeplain.Faults{})
	b.eventually("the other dispatcher takes over", func() bool { return b.ownsAll(second) })

	// A gateway that starts now knows only the new owner. The frozen owner's runs use
	// deposits@v1, which is idle at the new owner, while the new owner needs a slot for a third
	// adapter.
	other := b.gateway(2, "a")
	for range 2 {
		calls = append(calls, b.startChat(other, "disputes@v7", 300))
	}
	b.eventually("requests run at the new owner", func() bool { return b.jobCount(second, "running") == 2 })
	waiting = append(waiting, b.startChat(other, "deposits@v2", 5))
	var repeats []*call
	for _, key := range keys {
		repeats = append(repeats, b.startRelease(other, key))
	}
	for _, k := range repeats {
		c.Check(outcomeOf(c, k, b.await(k)), qt.Not(qt.Equals), "notRun")
	}
	first.signal(syscall.SIGCONT)

	for _, k := range calls {
		b.requireComplete(k)
	}
	for _, k := range waiting {
		r := b.await(k)
		if outcomeOf(c, k, r) == "notRun" {
			c.Check(e.Runs()[r.header.Get("X-Request-Id")], qt.Equals, 0)
		}
	}
	for _, k := range releases {
		b.await(k)
	}
	for _, key := range keys {
		c.Check(runsOf(ledger, key), qt.Equals, 1)
	}
	c.Check(b.ownsAll(second), qt.IsTrue)
	c.Check(e.Stats().BrokenByUnload, qt.Equals, uint64(0))
}

// A blockedFetcher is a weight store whose fetches block until opened is closed.
type blockedFetcher struct{ opened chan struct{} }

// Fetch implements ggsfakeengine.Fetcher.
func (g *blockedFetcher) Fetch(ctx context.Context, _ ggscore.AdapterRef) error {
	select {
	case <-g.opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against a stale eviction: it is queued behind a slow load when its owner freezes, and is
// sent after another owner has taken over and runs requests on the adapter. The engine has seen
// no greater fencing token yet and obeys.
func TestFrozenOwnersQueuedOrder(t *testing.T) {
	t.Parallel()
	for name, checks := range map[string]bool{"engines check fences": true, "engines ignore fences": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testFrozenOwnersQueuedOrder(t, checks)
		})
	}
}

func testFrozenOwnersQueuedOrder(t *testing.T, checksFence bool) {
	c := qt.New(t)
	b := newTestDeployment(t)
	w := &blockedFetcher{opened: make(chan struct{})}
	options := func(o *ggsfakeengine.Options) {
		o.TokenInterval, o.ChecksFence = 10*time.Millisecond, checksFence
	}
	e := b.engine("runner-1", "a", options)
	slow := b.engine("runner-2", "a", func(o *ggsfakeengine.Options) {
		options(o)
		o.Weights = w
	})
	b.vms[1].Service = "resumenes"
	b.document()
	services := servicesSection + strings.Replace(modelService, "asistente", "resumenes", 1)
	b.apply("services", strings.ReplaceAll(services, "checksFence = true", fmt.Sprintf("checksFence = %t", checksFence)))
	b.apply("market/cr", marketSection+"\n[[uses]]\nservice = \"resumenes\"\npriority = \"interactive\"\ndeadline = \"10s\"\n")
	first, second := b.ownerAndStandby(shortLease, "orderWorkers = 1")
	g := b.gateway(1, "a")
	b.requireComplete(b.startChat(g, "deposits@v1", 5))
	b.requireComplete(b.startChat(g, "disputes@v7", 5))

	b.startChatAt(g, "resumenes", "deposits@v1", 5)
	b.eventually("a load is in progress", func() bool { return len(slow.Resident()) == 0 && b.loading(&first.node, "runner-2") })
	waiting := b.startChat(g, "deposits@v2", 5)
	b.eventually("an eviction is ordered", func() bool { return b.residentCount(&first.node, "runner-1") == 1 })
	first.signal(syscall.SIGSTOP)
	b.eventually("the other dispatcher takes over", func() bool { return b.ownsAll(second) })

	other := b.gateway(2, "a")
	var calls []*call
	for i := range 4 {
		calls = append(calls, b.startChat(other, []string{"deposits@v1", "disputes@v7"}[i%2], 200))
	}
	b.waitStarted(e, 2+4)
	close(w.opened)
	first.signal(syscall.SIGCONT)
	for _, k := range calls {
		b.requireComplete(k)
	}
	if r := b.await(waiting); outcomeOf(c, waiting, r) == "notRun" {
		c.Check(e.Runs()[r.header.Get("X-Request-Id")], qt.Equals, 0)
	}
	c.Check(e.Stats().BrokenByUnload, qt.Equals, uint64(0))
}

// Guards against a new owner that evicts an adapter in use by a run of the frozen owner, whose
// connection is still open, because the engine's lagging reports show the adapter idle. The
// caller's answer is cut off.
func TestNewOwnerKeepsAdaptersOfFrozenOwner(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newTestDeployment(t)
	const lag = 2500 * time.Millisecond
	e := b.engine("runner-1", "a", func(o *ggsfakeengine.Options) {
		o.TokenInterval, o.AdapterSlots = 10*time.Millisecond, 1
	})
	b.document()
	b.apply("services", strings.Replace(servicesSection, "adapterSlots = 2", "adapterSlots = 1", 1))
	b.apply("market/cr", strings.Replace(marketSection, `deadline = "10s"`, `deadline = "4s"`, 1))
	first, second := b.ownerAndStandby(`leaseTtl = "1s"`)
	g := b.gateway(1, "a")
	b.requireComplete(b.startChat(g, "deposits@v1", 5))
	e.SetFaults(ggsfakeengine.Faults{ReportLag: lag})
	reporter := ggsengine.NewClient(ggsengine.DefaultSettings())
	b.eventually("reports show the adapter idle", func() bool {
		r, err := reporter.Report(b.ctx, b.addr(enginePort))
		return err == nil && len(r.Resident) == 1
	})

	k := b.startChat(g, "deposits@v1", 350)
	b.waitStarted(e, 2)
	b.eventually("the run is reported", func() bool { return b.jobCount(&first.node, "running") == 1 })
	first.signal(syscall.SIGSTOP)
	b.eventually("the other dispatcher takes over", func() bool { return b.ownsAll(second) })
	other := b.gateway(2, "a")
	wanted := b.startChat(other, "deposits@v2", 5)
	b.eventually("another adapter is requested", func() bool { return b.counter(second, "submitted") > 0 })
	b.requireComplete(b.startChat(other, "deposits@v1", 5))
	first.signal(syscall.SIGCONT)
	b.requireComplete(k)
	if r := b.await(wanted); outcomeOf(c, wanted, r) == "notRun" {
		c.Check(e.Runs()[r.header.Get("X-Request-Id")], qt.Equals, 0)
	}
	c.Check(e.Stats().BrokenByUnload, qt.Equals, uint64(0))
}
