package ggsnode

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"go.uber.org/fx"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsclaim"
	"greengageslip/core/ggsschedule"
	"greengageslip/io/ggsclaims"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggsdispatch"
	"greengageslip/io/ggsengine"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggsrpc"
	"greengageslip/io/ggssettings"
	"greengageslip/io/ggsstate"
	"greengageslip/io/ggsvms"
)

const (
	dispatcherProgram = "ggsdispatcher"
	// keyRetention is how long idempotency keys are kept. All processes must
	// agree on it at all times, or one would forget a key that another still
	// grants; so it is no setting.
	keyRetention = 24 * time.Hour
)

// RunDispatcher runs a dispatcher until a signal or the context's end and
// returns its exit code.
func RunDispatcher(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c, code, ok := parse(dispatcherProgram, args, stdout, stderr)
	if !ok {
		return code
	}
	s, err := ggssettings.ReadDispatcher(c.Settings)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", dispatcherProgram, err)
		return exitUsage
	}
	l := ggslog.New(stderr, dispatcherProgram, s.VM, s.LogLevel)
	return runApp(ctx, &s.Node, l, common(role{program: dispatcherProgram}), fx.Supply(&s),
		fx.Provide(newMembers, newClaims, newOwner, newScheduler, newDispatcher),
		fx.Invoke(startFollowers, startDispatcher))
}

// newMembers makes the other dispatchers known to the document's follower.
func newMembers(n *ggssettings.Node, v *ggsvms.Follower) ggsconfig.MemberLister {
	return &listedMembers{node: n, vms: v}
}

func newClaims(s ggscore.Store, c clock) *ggsclaims.Committer {
	return ggsclaims.New(s, c, func() ggsclaim.ClaimID { return ggsclaim.ClaimID(uuid.New()) },
		ggsclaims.DefaultOptions(keyRetention))
}

func newScheduler(c clock) *ggsschedule.Scheduler {
	return ggsschedule.New(ggsschedule.Options{Seed: uint64(c().UnixNano())})
}

func newDispatcher(
	s *ggssettings.Dispatcher, k *ggsschedule.Scheduler, c *ggsclaims.Committer, o *owner, t clock, l log.Logger,
) *ggsdispatch.Dispatcher {
	e := ggsengine.NewClient(ggsengine.DefaultSettings())
	return ggsdispatch.New(ggsdispatch.Options{
		Self: s.VM, Region: s.Region, Domain: s.Domain, Incarnation: uuid.NewString(),
		RequestWorkers: s.RequestWorkers, OrderWorkers: s.OrderWorkers,
	}, ggsdispatch.Parts{
		Scheduler: k,
		Engine:    e, Plain: e, Orderer: e, Reporter: e,
		Claims: c, Guard: o, Clock: t, Log: l,
	})
}

// A dispatcherParts holds what startDispatcher starts.
type dispatcherParts struct {
	fx.In

	Settings   *ggssettings.Dispatcher
	Dispatcher *ggsdispatch.Dispatcher
	Scheduler  *ggsschedule.Scheduler
	Claims     *ggsclaims.Committer
	Document   *ggsconfig.Follower
	VMs        *ggsvms.Follower
	Owner      *owner
	State      *ggsstate.State
}

func startDispatcher(h host, p dispatcherParts) {
	h.background("vms", p.VMs.Run)
	h.background("claims", p.Claims.Run)
	h.background("dispatcher", p.Dispatcher.Run)
	h.background("endpoints", newEndpoints(p).run)
	h.serveRPC(p.Settings.Listen, func(ctx context.Context, s *ggsrpc.Server) error {
		if err := s.Register(ggsconfig.ServiceName, ggsconfig.NewService(p.Document)); err != nil {
			return err
		}
		return s.Register("Dispatch", ggsdispatch.NewService(ctx, p.Dispatcher))
	})
	countDispatcher(p.State, p.Dispatcher.Stats())
	p.State.Add("dispatcher", func() any { return p.Dispatcher.State() })
	p.State.Add("claims", func() any { return p.Claims.Stats() })
	h.serveHTTP("state", p.Settings.StateListen, p.State.Handler())
	h.Lifecycle.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		if err := p.Dispatcher.Drain(ctx); err != nil {
			return err
		}
		return p.Claims.Flush(ctx)
	}})
}

func countDispatcher(t *ggsstate.State, k *ggsdispatch.Stats) {
	t.Count("submitted", k.Submitted.Load)
	t.Count("done", k.Done.Load)
	t.Count("notRun", k.NotRun.Load)
	t.Count("unknown", k.Unknown.Load)
	t.Count("loads", k.Loads.Load)
	t.Count("loadsFailed", k.LoadsFailed.Load)
	t.Count("unloads", k.Unloads.Load)
	t.Count("wrongAdapter", k.WrongAdapter.Load)
	t.Count("fenced", k.Fenced.Load)
}
