package ggsowners

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakebench"
	"greengageslip/fakes/ggsfakeengine"
	"greengageslip/io/ggsengine"
)

// plant is a runner and a client of it.
type plant struct {
	*bench
	engine *ggsfakeengine.Engine
	client *ggsengine.Client
	runner netip.AddrPort
}

func newPlant(t *testing.T, checksFence bool) *plant {
	t.Helper()
	b := newBench(t)
	e := ggsfakeengine.DefaultOptions()
	e.ID, e.ChecksFence = runner, checksFence
	e.FirstToken, e.TokenInterval = time.Millisecond, time.Millisecond
	p := &plant{bench: b, engine: ggsfakeengine.New(e), client: ggsengine.NewClient(ggsengine.DefaultSettings())}
	p.runner = ggsfakebench.AddrOf(t, ggsfakebench.Serve(t, p.engine.Handler()))
	b.c.Cleanup(func() {
		p.client.Close()
		p.engine.Close()
	})
	return p
}

// order checks an order and gives it, as a dispatcher does.
func (p *plant) order(o *Owners, name string, k ggscore.OrderKind) error {
	f, err := o.Check(p.clock.Now(), runner, adapter(name), k)
	if err != nil {
		return err
	}
	return p.give(f, name, k)
}

func (p *plant) give(f ggscore.FencingToken, name string, k ggscore.OrderKind) error {
	if k == ggscore.OrderLoad {
		return p.client.Load(p.ctx, p.runner, adapter(name), f)
	}
	return p.client.Unload(p.ctx, p.runner, adapter(name), f)
}

// A renter's answer breaks off in the middle: its dispatcher froze past its
// lease, the next owner took the runner over and made room for adapters of its
// own. Then the frozen one wakes and gives the order that it had checked
// before it froze.
func TestRunSurvivesTakeoverFromAFrozenOwner(t *testing.T) {
	t.Parallel()
	for name, checksFence := range map[string]bool{"engine checks fences": true, "engine ignores fences": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPlant(t, checksFence)
			old := p.dispatcher("vm-a", lifeA)
			old.Poll(p.ctx)
			p.c.Assert(p.order(old, "deposits", ggscore.OrderLoad), qt.IsNil)
			old.serveAll(p.ctx)
			p.busy.Store(true)
			fence, err := old.Check(p.clock.Now(), runner, adapter("deposits"), ggscore.OrderDispatch)
			p.c.Assert(err, qt.IsNil)

			started, whole := make(chan struct{}), make(chan error, 1)
			go func() { whole <- p.run(started) }()
			<-started
			p.clock.Advance(10 * time.Second)
			next := p.dispatcher("vm-b", lifeB)
			next.Poll(p.ctx)
			p.c.Assert(p.order(next, "rules", ggscore.OrderLoad), qt.IsNil)
			p.c.Assert(p.order(next, "deposits", ggscore.OrderUnload), qt.ErrorMatches, ".*pinned by vm-a")
			p.c.Assert(p.order(old, "rules", ggscore.OrderUnload), qt.ErrorMatches, "not the owner.*")
			late := p.give(fence, "rules", ggscore.OrderUnload)
			if checksFence {
				var f *ggscore.FencedError
				p.c.Assert(late, qt.ErrorAs, &f)
			} else {
				// The risk that remains where engines ignore fencing numbers.
				p.c.Assert(late, qt.IsNil)
			}
			p.c.Assert(<-whole, qt.IsNil)
			p.c.Assert(p.engine.Stats().BrokenByUnload, qt.Equals, uint64(0))
			p.busy.Store(false)
			old.Poll(p.ctx)
			next.Poll(p.ctx)
			p.c.Assert(p.order(next, "deposits", ggscore.OrderUnload), qt.IsNil)
		})
	}
}

// run runs a request of some tenths of a second; started is closed at its
// first piece.
func (p *plant) run(started chan struct{}) error {
	r := &ggscore.Request{
		ID: "r-1", Kind: ggscore.KindModel, Adapter: adapter("deposits"), Stream: true,
		Body: []byte(`{"model":"deposits@v1","stream":true,"max_tokens":400}`),
	}
	first := true
	return p.client.Run(p.ctx, p.runner, r, func(ggscore.Chunk) error {
		if first {
			close(started)
			first = false
		}
		return nil
	})
}
