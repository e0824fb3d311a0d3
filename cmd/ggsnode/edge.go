package ggsnode

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsegress"
	"greengageslip/core/ggsgrace"
	"greengageslip/io/ggsclock"
	"greengageslip/io/ggsconn"
	"greengageslip/io/ggsedge"
	"greengageslip/io/ggsexchange"
	"greengageslip/io/ggsintake"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggspeer"
	"greengageslip/io/ggsrpc"
	"greengageslip/io/ggssettings"
	"greengageslip/io/ggsstate"
	"greengageslip/io/ggstunnel"
	ggsdialect "greengageslip/platform"
)

const edgeProgram = "ggsedge"

// metricsPath is the URL path of the metrics.
const metricsPath = "/metrics"

const (
	// deregisterDelay is the time for which a stopping process accepts connections: the load
	// balancer checks readiness once per second and removes the process after two failures.
	deregisterDelay = 2300 * time.Millisecond
	// graceMargin is the part of the grace period before SIGKILL reserved for the last steps, and answerMargin that before for
	// the last answers.
	graceMargin  = 700 * time.Millisecond
	answerMargin = 200 * time.Millisecond
	// maxGraceMarginShare and maxAnswerMarginShare are the most of the grace period that these margins take. Together they are
	// below a sixth: a request that an endpoint still works on may only be cut in the last sixth.
	maxGraceMarginShare  = 0.12
	maxAnswerMarginShare = 0.04
	// defaultFiles (descriptors) and defaultMemory (bytes) are the limits of the present VMs.
	// They apply if the platform sets none.
	defaultFiles  = 4100
	defaultMemory = 284 << 20
	// reservedFiles is the number of descriptors that the platform reserves for files.
	reservedFiles = 200
	// inFlightShare is the share of the other descriptors for the callers of requests in flight.
	// Each request may use one more for its endpoint.
	inFlightShare = 0.35
	// tunnelShare is the share of the other descriptors for tunnels of other VMs, each of which
	// uses two. The rest is for idle connections.
	tunnelShare          = 0.15
	descriptorsPerTunnel = 2
	// memoryLimitShare is the share of a process's memory set as Go's soft memory limit, above
	// which garbage collection runs more often. The rest is for the program itself, buffers and the C
	// library, which take otherMemory (bytes) at least.
	memoryLimitShare = 0.75
	otherMemory      = 40 << 20
	// minMemoryLimitShare is the least share set as the limit.
	minMemoryLimitShare = 0.5
)

// An edgeCommandLine has the edge's options.
type edgeCommandLine struct {
	LogLevel string `long:"log-level" value-name:"LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`
	// MetricsPort serves the metrics at a known port, in addition to the address for readiness
	// checks, whose port isn't known beforehand.
	MetricsPort uint16 `long:"metrics-port" value-name:"PORT" description:"port of the VM that serves /metrics, beside the one for readiness"`
	// Policy is a file that switches off parts of the decisions, for measurements.
	Policy string `long:"policy" value-name:"FILE" description:"TOML file that switches parts of the decisions off: off = [\"turns\"]"`
}

// RunEdge runs an edge until a signal or the context's end and returns its
// exit code.
func RunEdge(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return runEdgeProgram(ctx, args, stdout, stderr)
}

// runEdgeProgram is RunEdge with options that change the edge's parts.
func runEdgeProgram(ctx context.Context, args []string, stdout, stderr io.Writer, options ...fx.Option) int {
	// A SIGHUP that arrives before rereadSettings installs its handler would end the process.
	signal.Ignore(syscall.SIGHUP)
	var c edgeCommandLine
	if code, ok := parseLine(edgeProgram, &c, args, stdout, stderr); !ok {
		return code
	}
	s, err := ggsdialect.ReadSettings(os.Getenv(ggsdialect.SettingsVariable))
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", edgeProgram, err)
		return exitUsage
	}
	var policy ggscore.Policy
	if c.Policy != "" {
		if policy, err = ggssettings.ReadPolicy(c.Policy); err != nil {
			_, _ = fmt.Fprintf(stderr, "%s: %v\n", edgeProgram, err)
			return exitUsage
		}
	}
	runtime.GOMAXPROCS(s.Cores)
	if s.MemoryBytes > 0 {
		setMemoryLimit(s.MemoryBytes, edgeLimits(&s))
	}
	w := ggslog.NewWriter(stdout)
	logging, stop := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(logging)
	}()
	defer func() {
		stop()
		<-done
	}()
	l := log.Logger(ggslog.NewSampler(ggslog.New(w, edgeProgram, s.VM, ggslog.Level(c.LogLevel)), time.Now)) //nolint:forbidigo // the clock of the log
	return runEdge(ctx, &c, &s, policy, l, options...)
}

// memoryLimit returns Go's soft memory limit for a process with the given memory, of which the system may take a part for what clients
// have sent. All are in bytes.
func memoryLimit(memory, unread int64) int64 {
	return min(int64(memoryLimitShare*float64(memory)), max(memory-otherMemory-unread, int64(minMemoryLimitShare*float64(memory))))
}

// runEdge runs an edge. The options change its parts.
func runEdge(
	ctx context.Context, c *edgeCommandLine, s *ggsdialect.Settings, policy ggscore.Policy, l log.Logger, options ...fx.Option,
) int {
	return runApp(ctx, s.Grace+stopMargin, l, append(options,
		fx.Supply(c, s, policy),
		fx.Provide(
			func() clock { return time.Now }, //nolint:forbidigo // the one clock of a process
			func() ggscore.Dialer { return ggsexchange.NewDirectDialer(0) },
			func() ggscore.PeerNetwork { return ggspeer.Network{} },
			newTunnelDialer,
			func(d *ggstunnel.Dialer, t clock) *ggsexchange.Pool {
				return ggsexchange.NewPool(ggsexchange.Options{Dialer: d, Now: t})
			},
			newOrderPool,
			newEdge,
			newTunnelServer,
			newEdgeIntake,
		),
		fx.Invoke(startEdge),
	)...)
}

// newTunnelDialer returns a dialer that reaches endpoints through peers while this VM doesn't reach
// them itself.
func newTunnelDialer(s *ggsdialect.Settings, d ggscore.Dialer, l log.Logger) *ggstunnel.Dialer {
	return ggstunnel.NewDialer(ggstunnel.Options{
		Direct: d, Peers: ggsexchange.NewDirectDialer(0), Now: ggsclock.Boot, Log: l,
		Table: ggsegress.NewTable(ggsegress.Options{Domain: s.Domain, Regions: s.Regions, Seed: hash64(string(s.VM))}),
	})
}

// newTunnelServer returns the server that opens connections to endpoints for peers.
func newTunnelServer(s *ggsdialect.Settings, d *ggstunnel.Dialer, e *ggsedge.Edge, l log.Logger) *ggstunnel.Server {
	return ggstunnel.NewServer(ggstunnel.ServerOptions{
		// A failed dial has this VM check its own path, so that it doesn't vouch for a dead endpoint.
		Dialer: d.Direct(), Paths: d, Known: e.KnowsEndpoint, Now: ggsclock.Boot, Log: l,
		MaxTunnels: maxTunnels(s),
	})
}

// maxTunnels returns the number of tunnels that an edge opens for others.
func maxTunnels(s *ggsdialect.Settings) int {
	return int(float64(cmp.Or(s.MaxFiles, defaultFiles)-reservedFiles) * tunnelShare / descriptorsPerTunnel)
}

func hash64(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// edgeDatagramAddr returns the address at which an edge receives its peers' datagrams over UDP and
// their tunnels over TCP, with the first port of its range.
func edgeDatagramAddr(s *ggsdialect.Settings) netip.AddrPort {
	return netip.AddrPortFrom(s.Addr, s.FirstPort)
}

// edgeCapacity returns a VM's capacity to relay datagrams, for comparison with that of other VMs:
// the product of processor and link, in thousandths of a core times Mbit/s.
func edgeCapacity(s *ggsdialect.Settings) uint64 {
	return uint64(1000 * s.CPUShare * float64(s.Cores) * s.LinkMbps)
}

// An orderPool has the connections for orders. They don't go through tunnels: an endpoint must get orders from its owner's address.
// They are reset, because an order that was given up must not reach its endpoint after those of the next owner or process.
type orderPool struct{ *ggsexchange.Pool }

func newOrderPool(d *ggstunnel.Dialer, t clock) orderPool {
	return orderPool{ggsexchange.NewPool(ggsexchange.Options{Dialer: d.Direct(), ResetOnClose: true, Now: t})}
}

func newEdge(
	s *ggsdialect.Settings, policy ggscore.Policy, p *ggsexchange.Pool, o orderPool, d *ggstunnel.Dialer, peers ggscore.PeerNetwork, t clock, l log.Logger,
) (*ggsedge.Edge, error) {
	u, err := peers.ListenPacket(context.Background(), edgeDatagramAddr(s))
	if err != nil {
		return nil, err
	}
	e := ggsedge.New(ggsedge.Options{
		Policy: policy,
		// The address is part of the ID, so that endpoints distinguish a VM from an earlier one
		// of the same name at another address.
		VM:     s.VM + "@" + ggscore.VMID(s.Addr.String()),
		Domain: s.Domain, Regions: s.Regions, Seed: hash64(string(s.VM)) ^ uint64(t().UnixNano()),
		Capacity:     edgeCapacity(s),
		DatagramAddr: edgeDatagramAddr(s), ControlAddr: s.Control, CallersAddr: s.Callers, Seeds: s.Seeds, MinOrderGap: s.MinOrderGap, FirstStart: s.FirstStart, RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack,
		IDHeader: ggsdialect.HeaderRequestID,
		Keys: ggsedge.Keys{
			Operators: ggsdialect.OperatorPrefix, Config: ggsdialect.ConfigKey, Instances: ggsdialect.InstancePrefix, Own: "greengageslip", Orders: "greengageslipOrders", Crashes: "greengageslipCrashes",
			Software: "greengageslipSoftware", Origins: "greengageslipOrigins",
			LastConfig: "greengageslipLastConfig",
		},
	}, ggsedge.Parts{
		Store: ggsdialect.NewStore(s.Store), Codec: ggsdialect.Codec{}, Dialect: ggsdialect.Headers{},
		PlacementClient: ggsdialect.NewOrderer(o.Pool), Pool: p, OrderPool: o.Pool, Peers: ggspeer.New(u), Calls: ggsrpc.NewPool(ggsrpc.PoolOptions{Dialer: peers}),
		Paths: d, Log: l, Now: ggsclock.Boot, Monotonic: t, TimeOfDay: t,
	})
	d.OnChange(e.PathsChanged)
	return e, nil
}

// startEdge starts the parts of an edge. Hooks stop in the reverse order.
func startEdge(
	h host, s *ggsdialect.Settings, c *edgeCommandLine, e *ggsedge.Edge, p *ggsexchange.Pool, o orderPool, d *ggstunnel.Dialer, n *ggstunnel.Server,
	peers ggscore.PeerNetwork, t clock,
) {
	h.Lifecycle.Append(fx.Hook{OnStop: func(context.Context) error {
		p.Close()
		o.Close()
		return nil
	}})
	h.Lifecycle.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, graceMargin/2)
		defer cancel()
		e.Release(ctx)
		return nil
	}})
	h.background("edge", e.Run)
	h.background("hangup", func(ctx context.Context) error { return rereadSettings(ctx, h.Log) })
	h.servePeerRPC(peers, s.Control, func(ctx context.Context, r *ggsrpc.Server) error {
		r.SetAnswerBytes(e.AnswerBytes)
		return r.Register("Placement", ggsedge.NewPlacement(ctx, e))
	})
	h.background("paths", d.Run)
	h.serveHTTP(classTunnels, edgeDatagramAddr(s), n)
	serveCallers(h, s, e, n, t)
	h.serveHTTP(classReady, s.Ready, edgeState(s, e, d, n, h.Intake, t))
	if c.MetricsPort > 0 {
		h.serveHTTP(classMetrics, netip.AddrPortFrom(s.Addr, c.MetricsPort), e.Metrics())
	}
}

// rereadSettings checks the settings file at each SIGHUP, which announces a change, and logs the
// result. The process's identity and addresses change only at the next start.
func rereadSettings(ctx context.Context, l log.Logger) error {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	defer signal.Stop(c)
	for {
		select {
		case <-c:
			_, err := ggsdialect.ReadSettings(os.Getenv(ggsdialect.SettingsVariable))
			_ = level.Info(l).Log("event", ggslog.EventSettingsReread, "err", err)
		case <-ctx.Done():
			return nil
		}
	}
}

// serveCallers serves callers. A planned stop first reports the process as not ready, continues to
// serve until the load balancer has removed it, and then waits for the requests in progress, also for
// those of other VMs' tunnels. What can't end in time is refused meanwhile.
func serveCallers(h host, s *ggsdialect.Settings, e *ggsedge.Edge, n *ggstunnel.Server, t clock) {
	v := newServer(h.Intake, classCallers, ggsconn.ResetOnAbort(e), e.RefuseFull)
	h.Lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error { return v.start(ctx, h, s.Callers) },
		OnStop: func(ctx context.Context) error {
			p := newStopPlan(s.Grace)
			ctx, cancel := context.WithTimeout(ctx, p.close)
			defer cancel()
			var w sync.WaitGroup
			defer w.Wait()
			drain, cancelDrain := context.WithCancel(ctx)
			defer cancelDrain()
			begun := t()
			w.Go(func() { e.Drain(drain, ggsgrace.Schedule{Strict: begun.Add(p.deregister), End: begun.Add(p.end)}) })
			n.Drain()
			pauseFor(ctx, p.deregister)
			left := v.stop(ctx)
			n.Wait(ctx)
			if cut := e.Cut(); left > 0 || cut > 0 {
				_ = level.Warn(h.Log).Log("event", ggslog.EventRequestsCut, "part", "callers", "requests", cut, "connections", left)
			}
			return nil
		},
	})
}

// A stopPlan has the times of a planned stop since its beginning.
type stopPlan struct {
	// deregister is when no more connections are accepted.
	deregister time.Duration
	// end is when the requests in progress end, and close when their connections are closed.
	end, close time.Duration
}

// newStopPlan returns the times of a stop that must be over after the grace period.
func newStopPlan(grace time.Duration) stopPlan {
	share := func(limit time.Duration, share float64) time.Duration {
		return min(limit, time.Duration(share*float64(grace)))
	}
	p := stopPlan{close: grace - share(graceMargin, maxGraceMarginShare)}
	p.end = p.close - share(answerMargin, maxAnswerMarginShare)
	p.deregister = min(deregisterDelay, p.end/2)
	return p
}

// edgeState returns a handler for readiness, metrics and the state dump.
func edgeState(s *ggsdialect.Settings, e *ggsedge.Edge, d *ggstunnel.Dialer, n *ggstunnel.Server, i *ggsintake.Intake, c clock) http.Handler {
	t := ggsstate.New(edgeProgram, s.VM, c)
	k := e.Stats()
	t.AddCounter("requests", k.Requests.Load)
	t.AddCounter("answered", k.Answered.Load)
	t.AddCounter("refused", k.Refused.Load)
	t.AddCounter("failed", k.Failed.Load)
	t.AddCounter("callersLeft", k.CallersLeft.Load)
	t.AddCounter("retries", k.Retries.Load)
	t.AddCounter("orders", k.Orders.Load)
	t.AddCounter("storeCalls", k.StoreCalls.Load)
	t.AddCounter("active", k.InFlight.Load)
	t.AddCounter("tunnelsUsed", d.Tunnels)
	t.AddCounter("tunnelsServed", n.Opened)
	t.AddPart("edge", func() any { return e.State() })
	addClients(t, i)
	t.SetHealth(e.Ready)
	g := t.HandlerWithHealth(ggsdialect.PathReady)
	g.GET(metricsPath, gin.WrapH(e.Metrics()))
	return g
}
