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
	summaryWait          = 500 * time.Millisecond
	summaryTimeout       = time.Second
	summaryMinInterval   = 50 * time.Millisecond
	summaryRetryInterval = 300 * time.Millisecond
)

// Run polls the dispatchers' summaries until the context ends. It then waits for the
// withdrawals in flight.
func (g *Gateway) Run(ctx context.Context) error {
	var w sync.WaitGroup
	defer func() {
		w.Wait()
		g.withdrawals.Wait()
	}()
	followed := make(map[netip.AddrPort]context.CancelFunc)
	for {
		wanted := g.dispatcherAddrs()
		for a := range wanted {
			if followed[a] == nil {
				followCtx, cancel := context.WithCancel(ctx)
				followed[a] = cancel
				w.Go(func() { g.follow(followCtx, a) })
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

// dispatcherAddrs returns the addresses to poll: those on the list, or the seeds while
// the list is empty.
func (g *Gateway) dispatcherAddrs() map[netip.AddrPort]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	addrs := make(map[netip.AddrPort]bool, len(g.listed))
	for i := range g.listed {
		addrs[g.listed[i].Addr] = true
	}
	if len(addrs) == 0 {
		for _, a := range g.options.Seeds {
			addrs[a] = true
		}
	}
	return addrs
}

// follow polls the summaries of one dispatcher and passes them to the router. When the
// context ends, it removes the dispatcher from the router.
func (g *Gateway) follow(ctx context.Context, addr netip.AddrPort) {
	var vm ggscore.VMID
	var last uint64
	for ctx.Err() == nil {
		s, err := g.summary(ctx, addr, last)
		if err != nil {
			g.pause(ctx, summaryRetryInterval/2+rand.N(summaryRetryInterval))
			last = 0
			continue
		}
		last = s.Sequence
		if vm != s.VM {
			vm = s.VM
			_ = level.Info(g.parts.Log).Log("event", "dispatcherFound", "vm", vm, "addr", addr)
		}
		g.mu.Lock()
		g.dispatchers[s.VM] = dispatcher{addr: addr, summary: s}
		g.router.Update(g.parts.Clock(), &s)
		g.mu.Unlock()
		g.pause(ctx, summaryMinInterval)
	}
	if vm != "" {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.router.Remove(g.parts.Clock(), vm)
		g.breakers.Remove(vm)
		delete(g.dispatchers, vm)
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
