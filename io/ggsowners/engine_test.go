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

// An engineBench is a bench with a runner and a client of it.
type engineBench struct {
	*bench
	engine *ggsfakeengine.Engine
	client *ggsengine.Client
	runner netip.AddrPort
}

func newEngineBench(t *testing.T, checksFence bool) *engineBench {
	t.Helper()
	b := newBench(t)
	e := ggsfakeengine.DefaultOptions()
	e.ID, e.ChecksFence = runner, checksFence
	e.FirstToken, e.TokenInterval = time.Millisecond, time.Millisecond
	p := &engineBench{bench: b, engine: ggsfakeengine.New(e), client: ggsengine.NewClient(ggsengine.DefaultSettings())}
	p.runner = ggsfakebench.AddrOf(t, ggsfakebench.Serve(t, p.engine.Handler()))
	b.c.Cleanup(func() {
		p.client.Close()
		p.engine.Close()
	})
	return p
}

// order checks an order and sends it to the runner, as a dispatcher does.
func (p *engineBench) order(o *Owners, name string, k ggscore.OrderKind) error {
	f, err := o.Check(p.clock.Now(), runner, adapter(name), k)
	if err != nil {
		return err
	}
	return p.send(f, name, k)
}

func (p *engineBench) send(f ggscore.FencingToken, name string, k ggscore.OrderKind) error {
	if k == ggscore.OrderLoad {
		return p.client.Load(p.ctx, p.runner, adapter(name), f)
	}
	return p.client.Unload(p.ctx, p.runner, adapter(name), f)
}

// Guards against an answer that breaks off: a dispatcher pauses past its lease's end during
// a run, and the next owner unloads the run's adapter, or the paused one resumes and sends
// an order that it had checked before the pause.
func TestRunSurvivesTakeoverFromPausedOwner(t *testing.T) {
	t.Parallel()
	for name, checksFence := range map[string]bool{"engine checks fencing tokens": true, "engine ignores fencing tokens": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newEngineBench(t, checksFence)
			old := p.dispatcher("vm-a", incarnationA)
			old.Poll(p.ctx)
			p.c.Assert(p.order(old, "deposits", ggscore.OrderLoad), qt.IsNil)
			old.serveAll(p.ctx)
			p.busy.Store(true)
			fence, err := old.Check(p.clock.Now(), runner, adapter("deposits"), ggscore.OrderDispatch)
			p.c.Assert(err, qt.IsNil)

			started, result := make(chan struct{}), make(chan error, 1)
			go func() { result <- p.run(started) }()
			<-started
			p.clock.Advance(10 * time.Second)
			next := p.dispatcher("vm-b", incarnationB)
			next.Poll(p.ctx)
			p.c.Assert(p.order(next, "rules", ggscore.OrderLoad), qt.IsNil)
			p.c.Assert(p.order(next, "deposits", ggscore.OrderUnload), qt.ErrorMatches, ".*pinned by vm-a")
			p.c.Assert(p.order(old, "rules", ggscore.OrderUnload), qt.ErrorMatches, "not the owner.*")
			late := p.send(fence, "rules", ggscore.OrderUnload)
			if checksFence {
				var f *ggscore.FencedError
				p.c.Assert(late, qt.ErrorAs, &f)
			} else {
				// This risk remains with engines that ignore fencing tokens.
				p.c.Assert(late, qt.IsNil)
			}
			p.c.Assert(<-result, qt.IsNil)
			p.c.Assert(p.engine.Stats().BrokenByUnload, qt.Equals, uint64(0))
			p.busy.Store(false)
			old.Poll(p.ctx)
			next.Poll(p.ctx)
			p.c.Assert(p.order(next, "deposits", ggscore.OrderUnload), qt.IsNil)
		})
	}
}

// run runs a request that takes several tenths of a second. It closes started at the
// first chunk.
func (p *engineBench) run(started chan struct{}) error {
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
