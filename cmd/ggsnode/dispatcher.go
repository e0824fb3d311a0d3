package ggsnode

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"go.uber.org/fx"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsclaim"
	"greengageslip/core/ggsdocument"
	"greengageslip/core/ggsowner"
	"greengageslip/core/ggsschedule"
	"greengageslip/io/ggsclaims"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggsdispatch"
	"greengageslip/io/ggsengine"
	"greengageslip/io/ggsheartbeat"
	"greengageslip/io/ggsintake"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggsowners"
	"greengageslip/io/ggsrpc"
	"greengageslip/io/ggssettings"
	"greengageslip/io/ggsstate"
	"greengageslip/io/ggsvms"
)

const (
	dispatcherProgram = "ggsdispatcher"
	// The lease's time to live divided by these gives its margin, and the intervals between
	// renewals and between reads of the other owners' records.
	leaseMarginDivisor = 4
	leaseRenewDivisor  = 3
	leasePollDivisor   = 6
	releaseTimeout     = 3 * time.Second
)

// RunDispatcher runs a dispatcher until a signal or the context's end and returns its exit code.
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
	return runNode(ctx, &s.Node, l, common(role{program: dispatcherProgram}), fx.Supply(&s),
		fx.Provide(newIncarnation, newHeartbeats, newMembers, newClaims, newScheduler, newDispatcher, newDispatcherIntake),
		fx.Invoke(startFollowers, startDispatcher))
}

func newClaims(s ggscore.Store, c clock, l log.Logger) *ggsclaims.Committer {
	return ggsclaims.New(s, c, func() ggsclaim.ClaimID { return ggsclaim.ClaimID(uuid.New()) },
		ggsclaims.DefaultOptions(ggsdocument.KeyRetention), l)
}

func newScheduler(s *ggssettings.Dispatcher, c clock) *ggsschedule.Scheduler {
	return ggsschedule.New(ggsschedule.Options{Policy: s.Policy, Seed: uint64(c().UnixNano())})
}

// An incarnation identifies one run of a process. It is a UUIDv7, so later incarnations sort after
// earlier ones.
type incarnation string

func newIncarnation() (incarnation, error) {
	u, err := uuid.NewV7()
	return incarnation(u.String()), err
}

// newDispatcher returns the ownership and the dispatcher, which depend on each other. The ownership
// authorizes the dispatcher's orders, and the dispatcher reports which endpoints are busy.
func newDispatcher(
	s *ggssettings.Dispatcher, store ggscore.Store, i incarnation, k *ggsschedule.Scheduler,
	c *ggsclaims.Committer, n *ggsintake.Intake, t clock, l log.Logger,
) (*ggsowners.Owners, *ggsdispatch.Dispatcher) {
	var d *ggsdispatch.Dispatcher
	q := ggsowners.DefaultOptions(s.Domain)
	q.Limits.TTL, q.Limits.Margin = s.LeaseTTL, s.LeaseTTL/leaseMarginDivisor
	q.RenewInterval, q.PollInterval = s.LeaseTTL/leaseRenewDivisor, s.LeaseTTL/leasePollDivisor
	q.CallTimeout = s.LeaseTTL / leaseMarginDivisor
	q.Busy = func(ids []ggscore.EndpointID) bool { return d.Busy(ids) }
	o := ggsowners.New(store, t, ggsowner.Holder{VM: s.VM, Incarnation: string(i)}, q, l)
	e := ggsengine.NewClient(ggsengine.DefaultSettings())
	d = ggsdispatch.New(ggsdispatch.Options{
		Self: s.VM, Region: s.Region, Domain: s.Domain, Incarnation: string(i),
		RequestWorkers: s.RequestWorkers, OrderWorkers: s.OrderWorkers,
	}, ggsdispatch.Parts{
		Scheduler: k, Engine: e, Plain: e, Loader: e, Reporter: e,
		Claims: c, Guard: o, Observer: o, Memory: n, Clock: t, Log: l,
	})
	return o, d
}

// A dispatcherParts holds the parts that startDispatcher starts.
type dispatcherParts struct {
	fx.In

	Settings   *ggssettings.Dispatcher
	Dispatcher *ggsdispatch.Dispatcher
	Scheduler  *ggsschedule.Scheduler
	Claims     *ggsclaims.Committer
	Document   *ggsconfig.Follower
	VMs        *ggsvms.Follower
	Owners     *ggsowners.Owners
	Heartbeats *ggsheartbeat.Server
	Clock      clock
	State      *ggsstate.State
}

func startDispatcher(h host, p dispatcherParts) {
	h.background("vms", p.VMs.Run)
	h.background("heartbeats", p.Heartbeats.Run)
	h.background("owners", p.Owners.Run)
	h.background("claims", p.Claims.Run)
	h.background("dispatcher", p.Dispatcher.Run)
	h.background("endpoints", newEndpointUpdater(p, h.Log).run)
	h.serveRPC(p.Settings.Listen, func(ctx context.Context, s *ggsrpc.Server) error {
		if err := s.Register(ggsconfig.ServiceName, ggsconfig.NewService(p.Document)); err != nil {
			return err
		}
		if err := s.Register(ggsvms.ServiceName, ggsvms.NewService(p.VMs)); err != nil {
			return err
		}
		return s.Register("Dispatch", ggsdispatch.NewService(ctx, p.Dispatcher))
	})
	registerDispatcherCounters(p.State, p.Dispatcher.Stats())
	p.State.AddPart("dispatcher", func() any { return p.Dispatcher.State() })
	p.State.AddPart("owners", func() any { return ownerStates(p.Owners.Status(p.Clock())) })
	p.State.AddPart("members", func() any { return memberStates(p.Heartbeats.Members()) })
	p.State.AddPart("claims", func() any { return p.Claims.Stats() })
	addClients(p.State, h.Intake)
	h.serveHTTP(classState, p.Settings.StateListen, p.State.Handler())
	h.Lifecycle.Append(fx.Hook{OnStop: func(ctx context.Context) error { return p.drain(ctx, h.Log) }})
}

// drain hands over the endpoints and then waits for the requests in progress. Calls to an
// unavailable platform are given up after releaseTimeout. Another dispatcher then takes over after
// the lease has expired.
func (p *dispatcherParts) drain(ctx context.Context, l log.Logger) error {
	p.handOver(ctx, l)
	if err := p.Dispatcher.Drain(ctx); err != nil {
		return err
	}
	leave, cancelLeave := context.WithTimeout(ctx, releaseTimeout)
	defer cancelLeave()
	if err := p.Owners.Leave(leave); err != nil {
		_ = level.Warn(l).Log("event", "leaveFailed", "err", err)
	}
	flush, cancelFlush := context.WithTimeout(ctx, releaseTimeout)
	defer cancelFlush()
	return p.Claims.Flush(flush)
}

// handOver refuses new requests from now on and releases the endpoints, so that another dispatcher
// can take them over at once.
func (p *dispatcherParts) handOver(ctx context.Context, l log.Logger) {
	p.Heartbeats.SetSelf(true, p.Document.Head().Revision)
	p.Dispatcher.BeginDrain()
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := p.Owners.Release(ctx); err != nil {
		_ = level.Warn(l).Log("event", "releaseFailed", "err", err)
	}
}

func registerDispatcherCounters(t *ggsstate.State, k *ggsdispatch.Stats) {
	t.AddCounter("submitted", k.Submitted.Load)
	t.AddCounter("done", k.Done.Load)
	t.AddCounter("notRun", k.NotRun.Load)
	t.AddCounter("unknown", k.Unknown.Load)
	t.AddCounter("loads", k.Loads.Load)
	t.AddCounter("loadsFailed", k.LoadsFailed.Load)
	t.AddCounter("unloads", k.Unloads.Load)
	t.AddCounter("wrongAdapter", k.WrongAdapter.Load)
	t.AddCounter("fenced", k.Fenced.Load)
}
