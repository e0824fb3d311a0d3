package ggsgateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/io/ggswire"
)

const (
	summaryWait    = 500 * time.Millisecond
	summaryTimeout = time.Second
	summaryMinimum = 50 * time.Millisecond
	awayInterval   = 300 * time.Millisecond
)

// Run follows the dispatchers' summaries until the context ends.
func (g *Gateway) Run(ctx context.Context) error {
	var w sync.WaitGroup
	defer func() {
		w.Wait()
		g.closing.Wait()
	}()
	followed := make(map[netip.AddrPort]context.CancelFunc)
	for {
		wanted := g.dispatchers()
		for a := range wanted {
			if followed[a] == nil {
				one, cancel := context.WithCancel(ctx)
				followed[a] = cancel
				w.Go(func() { g.follow(one, a) })
			}
		}
		for a, cancel := range followed {
			if !wanted[a] {
				cancel()
				delete(followed, a)
			}
		}
		select {
		case <-ctx.Done():
			for _, cancel := range followed {
				cancel()
			}
			return nil
		case <-g.changed:
		}
	}
}

// dispatchers returns the addresses to follow: the listed ones, or the seeds
// as long as there is no list.
func (g *Gateway) dispatchers() map[netip.AddrPort]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	as := make(map[netip.AddrPort]bool, len(g.listed))
	for i := range g.listed {
		as[g.listed[i].Addr] = true
	}
	if len(as) == 0 {
		for _, a := range g.options.Seeds {
			as[a] = true
		}
	}
	return as
}

// follow keeps the router up to date with one dispatcher.
func (g *Gateway) follow(ctx context.Context, addr netip.AddrPort) {
	var vm ggscore.VMID
	var last uint64
	for ctx.Err() == nil {
		s, err := g.summary(ctx, addr, last)
		if err != nil {
			g.pause(ctx, awayInterval/2+rand.N(awayInterval))
			last = 0
			continue
		}
		last = s.Sequence
		if vm != s.VM {
			vm = s.VM
			_ = level.Info(g.parts.Log).Log("event", "dispatcherFound", "vm", vm, "addr", addr)
		}
		g.mu.Lock()
		g.peers[s.VM] = peer{addr: addr, summary: s}
		g.router.Update(g.parts.Clock(), &s)
		g.mu.Unlock()
		g.pause(ctx, summaryMinimum)
	}
	if vm != "" {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.router.Remove(g.parts.Clock(), vm)
		g.breakers.Remove(vm)
		delete(g.peers, vm)
	}
}

func (g *Gateway) summary(ctx context.Context, addr netip.AddrPort, after uint64) (ggscore.DispatcherSummary, error) {
	ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	args := ggswire.SummaryArgs{After: after, Wait: summaryWait}
	var reply ggswire.SummaryReply
	if err := g.parts.Caller.Call(ctx, addr, ggswire.MethodSummary, &args, &reply); err != nil {
		return ggscore.DispatcherSummary{}, err
	}
	return reply.Summary.Summary(), nil
}
