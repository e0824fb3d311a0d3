package ggsnode_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakeengine"
	"greengageslip/fakes/ggsfakeweights"
)

const (
	shareAdapters = 120
	shareCallers  = 30
	shareLoads    = 60
	shareRate     = 12.0
	shareTransit  = 24
)

// A renter's domain has many adapters to load while the others are idle, and
// its callers wait as long as if those were busy as well.
func TestBusyDomainLoadsOnIdleDomainsShares(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBench(t)
	w := ggsfakeweights.New(ggsfakeweights.Options{
		LoadsPerSecond: shareRate, AtOnce: 3, InTransit: shareTransit, LoadTime: 250 * time.Millisecond,
	})
	e := b.engine("runner-1", "a", func(o *ggsfakeengine.Options) { o.Weights, o.AdapterSlots, o.Slots = w, 12, 8 })
	b.plain("plain-b", "b")
	b.plain("plain-c", "c")
	b.apply("services", strings.Replace(servicesSection, "adapterSlots = 2", "adapterSlots = 12", 1))
	b.apply("policy", strings.Replace(policySection, "loadsPerSecond = 40.0", fmt.Sprintf("loadsPerSecond = %.1f", shareRate), 1))
	b.apply("market/cr", manyAdapters())
	for i, domain := range []string{"a", "b", "c"} {
		b.dispatcher(i+1, domain)
	}
	g := b.gateway(1, "a")

	began := time.Now()
	stop, ended := make(chan struct{}), &sync.WaitGroup{}
	for i := range shareCallers {
		ended.Go(func() { b.askAll(g, i, stop) })
	}
	b.eventually("loads", func() bool { return e.Stats().Loads >= shareLoads })
	took := time.Since(began)
	close(stop)
	ended.Wait()

	equal := shareRate / 3
	t.Logf("%d loads in %v: %.1f/s of an equal share of %.1f/s; %d in transit at most",
		shareLoads, took.Round(time.Millisecond), shareLoads/took.Seconds(), equal, w.Stats().MaxInTransit)
	c.Check(shareLoads > 1.25*equal*took.Seconds()+equal, qt.IsTrue, qt.Commentf("%d loads took %v", shareLoads, took))
	c.Check(shareLoads <= shareRate*took.Seconds()+shareRate, qt.IsTrue)
	c.Check(w.Stats().MaxInTransit <= shareTransit, qt.IsTrue)
}

// askAll asks for one adapter after another until stop is closed.
func (b *bench) askAll(g *node, first int, stop <-chan struct{}) {
	for i := first; ; i += shareCallers {
		select {
		case <-stop:
			return
		default:
		}
		b.post(g, chatPath, chat(fmt.Sprintf("adapter-%d@v1", i%shareAdapters)))
	}
}

func manyAdapters() string {
	uses := strings.Index(marketSection, "[[uses]]")
	text := &strings.Builder{}
	text.WriteString("weight = 1\n")
	for i := range shareAdapters {
		fmt.Fprintf(text, "[[adapters]]\nname = \"adapter-%d\"\nbaseModel = \"base-a\"\nversions = [\"v1\"]\ncurrent = \"v1\"\n", i)
	}
	return text.String() + marketSection[uses:]
}
