package ggsnode

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsfleet"
	"greengageslip/core/ggsgrace"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggsgateway"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggsrpc"
	"greengageslip/io/ggssettings"
	"greengageslip/io/ggsstate"
	"greengageslip/io/ggsvms"
)

const gatewayProgram = "ggsgateway"

// RunGateway runs a gateway until a signal or the context's end and returns its exit code.
func RunGateway(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c, code, ok := parse(gatewayProgram, args, stdout, stderr)
	if !ok {
		return code
	}
	s, err := ggssettings.ReadGateway(c.Settings)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", gatewayProgram, err)
		return exitUsage
	}
	l := ggslog.New(stderr, gatewayProgram, s.VM, s.LogLevel)
	return runNode(ctx, &s.Node, l, common(role{program: gatewayProgram, peersOnly: true}), fx.Supply(&s),
		fx.Provide(newGatewayMembers, newGateway, newGatewayIntake),
		fx.Invoke(startFollowers, startGateway))
}

func newGateway(s *ggssettings.Gateway, f *ggsconfig.Follower, p *ggsrpc.Pool, t clock, l log.Logger) *ggsgateway.Gateway {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.VM))
	return ggsgateway.New(ggsgateway.Options{
		VM: s.VM, Region: s.Region, Seed: h.Sum64(), Seeds: s.Dispatchers,
		DefaultService: s.DefaultService, MaxInFlight: s.MaxInFlight, MaxAttempts: s.MaxAttempts,
	}, ggsgateway.Parts{Document: f.Current, Caller: p, Clock: t, Log: l})
}

// newGatewayMembers returns the dispatchers from which the document's follower reads.
func newGatewayMembers(n *ggssettings.Node, v *ggsvms.Follower) ggsconfig.MemberLister {
	return &listedMembers{node: n, vms: v}
}

// gatewayAnswerMargin is the time after drainTimeout for the answers to requests that are ended then, whose dispatchers are asked
// whether they have run. It is a part of stopMargin.
const gatewayAnswerMargin = 3 * time.Second

// lateBodyShare is the share of a gateway's stop in which requests whose bodies arrive late are submitted if they are expected to
// end in time. As long again is then left for those that last longer than expected.
const lateBodyShare = 0.5

func startGateway(h host, s *ggssettings.Gateway, g *ggsgateway.Gateway, v *ggsvms.Follower, t *ggsstate.State, now clock) {
	v.Subscribe(func(vms []ggscore.VM) { g.SetDispatchers(ggsfleet.Dispatchers(vms)) })
	h.background("vms", v.Run)
	h.background("gateway", g.Run)
	k := g.Stats()
	t.AddCounter("requests", k.Requests.Load)
	t.AddCounter("done", k.Done.Load)
	t.AddCounter("notRun", k.NotRun.Load)
	t.AddCounter("unknown", k.Unknown.Load)
	t.AddCounter("retries", k.Retries.Load)
	t.AddCounter("resumed", k.Resumed.Load)
	t.AddCounter("inFlight", g.InFlight)
	t.AddPart("gateway", func() any { return g.State() })
	addClients(t, h.Intake)
	t.SetHealth(func() error { return g.Ready() })
	h.serveHTTP(classState, s.StateListen, t.Handler())
	c := newServer(h.Intake, classCallers, g.Handler(), g.RefuseFull)
	h.Lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error { return c.start(ctx, h, s.Listen) },
		OnStop:  func(ctx context.Context) error { return stopGateway(ctx, h, s.DrainTimeout, g, c, now) },
	})
}

// stopGateway ends a gateway's requests within a time. It returns a *CutError if requests had to be ended after they had been
// submitted.
func stopGateway(ctx context.Context, h host, timeout time.Duration, g *ggsgateway.Gateway, c *server, now clock) error {
	ctx, cancel := context.WithTimeout(ctx, timeout+gatewayAnswerMargin)
	defer cancel()
	drain, cancelDrain := context.WithCancel(ctx)
	var w sync.WaitGroup
	defer w.Wait()
	defer cancelDrain()
	begun := now()
	times := ggsgrace.Schedule{Strict: begun.Add(time.Duration(lateBodyShare * float64(timeout))), End: begun.Add(timeout)}
	w.Go(func() { g.Drain(drain, times) })
	left := c.stop(ctx)
	if cut := g.Cut(); left > 0 || cut > 0 {
		_ = level.Warn(h.Log).Log("event", ggslog.EventRequestsCut, "part", "callers", "requests", cut, "connections", left)
		return &CutError{Requests: cut, Connections: left}
	}
	return nil
}
