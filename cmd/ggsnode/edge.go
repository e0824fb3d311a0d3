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
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsclock"
	"greengageslip/io/ggsedge"
	"greengageslip/io/ggsexchange"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggspeer"
	"greengageslip/io/ggsrpc"
	"greengageslip/io/ggssettings"
	"greengageslip/io/ggsstate"
	ggsdialect "greengageslip/platform"
)

const edgeProgram = "ggsedge"

// metricsPath is where the metrics are served.
const metricsPath = "/metrics"

const (
	// edgeHeaderTimeout bounds a caller's head. The configuration's own limit
	// isn't known when the program starts to listen; callers that are cut stay
	// well below both.
	edgeHeaderTimeout = 10 * time.Second
	// edgeIdleTimeout is how long callers' connections are kept. Callers go by
	// the configuration's limit of some 15 s, so theirs end first.
	edgeIdleTimeout = 40 * time.Second
	// edgeHeaderBytes bounds a caller's head.
	edgeHeaderBytes = 64 << 10
	// leaveTime is how long a process that stops goes on taking connections:
	// the balancer asks once a second and leaves it out after two misses.
	deregisterDelay = 2300 * time.Millisecond
	// graceMargin is the time before SIGKILL that is left for the last steps.
	graceMargin = 700 * time.Millisecond
	// defaultFiles and defaultMemory stand in where the platform sets no limits:
	// those of today's VMs.
	defaultFiles  = 4100
	defaultMemory = 284 << 20
	// reservedFiles are the descriptors that the platform keeps for files.
	reservedFiles = 200
	// activeShare is the part of the other descriptors that requests under way may
	// have for their callers: each may take one more for its endpoint, and a
	// quarter is for idle connections.
	inFlightShare = 0.35
	// bodiesShare is the part of the memory for bodies of requests under way.
	bodiesShare = 0.25
	// memoryShare is the part of a process's memory at which the collector
	// works harder: the rest is for goroutines, buffers and the C library.
	memoryLimitShare = 0.75
)

// An edgeLine is the edge's command line.
type edgeCommandLine struct {
	LogLevel string `long:"log-level" value-name:"LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`
	// MetricsPort serves the metrics beside the address for readiness checks,
	// whose port isn't known beforehand.
	MetricsPort uint16 `long:"metrics-port" value-name:"PORT" description:"port of the VM that serves /metrics, beside the one for readiness"`
	// Policy names a file that switches mechanisms off, for measurements.
	Policy string `long:"policy" value-name:"FILE" description:"TOML file that switches parts of the decisions off: off = [\"turns\"]"`
}

// RunEdge runs an edge until a signal or the context's end and returns its
// exit code.
func RunEdge(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	// A hang-up that arrives before the process listens for it would end the process.
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
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
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
	l := log.Logger(ggslog.NewLimit(ggslog.New(w, edgeProgram, s.VM, ggslog.Level(c.LogLevel)), time.Now)) //nolint:forbidigo // the clock of the log
	return runEdge(ctx, &c, &s, policy, l)
}

func runEdge(ctx context.Context, c *edgeCommandLine, s *ggsdialect.Settings, policy ggscore.Policy, l log.Logger) int {
	return runApp(ctx, s.Grace+stopMargin, l,
		fx.Supply(c, s, policy),
		fx.Provide(
			func() clock { return time.Now }, //nolint:forbidigo // the one clock of a process
			func(t clock) *ggsexchange.Pool { return ggsexchange.NewPool(ggsexchange.Options{Now: t}) },
			newEdge,
		),
		fx.Invoke(startEdge),
	)
}

// edgeBeats is where an edge hears its peers' beats: UDP at the first port of
// its range.
func edgeDatagramAddr(s *ggsdialect.Settings) netip.AddrPort {
	return netip.AddrPortFrom(s.Addr, s.FirstPort)
}

// edgeCapacity compares VMs: the product of processor and link counts for passing on
// datagrams, in thousandths of a core times Mbit/s.
func edgeCapacity(s *ggsdialect.Settings) uint64 {
	return uint64(1000 * s.CPUShare * float64(s.Cores) * s.LinkMbps)
}

func newEdge(s *ggsdialect.Settings, policy ggscore.Policy, p *ggsexchange.Pool, t clock, l log.Logger) (*ggsedge.Edge, error) {
	u, err := ggspeer.Listen(context.Background(), edgeDatagramAddr(s))
	if err != nil {
		return nil, err
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.VM))
	return ggsedge.New(ggsedge.Options{
		// A VM that comes back under an old name at another address is another
		// machine to those that take its orders.
		Policy: policy,
		VM:     s.VM + "@" + ggscore.VMID(s.Addr.String()),
		Domain: s.Domain, Regions: s.Regions, Seed: h.Sum64() ^ uint64(t().UnixNano()),
		Capacity:     edgeCapacity(s),
		DatagramAddr: edgeDatagramAddr(s), ControlAddr: s.Control, Seeds: s.Seeds, MinOrderGap: s.OrderTurn, FirstStart: s.FirstStart, RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack,
		MaxInFlight:    int64(float64(cmp.Or(s.MaxFiles, defaultFiles)-reservedFiles) * inFlightShare),
		MaxBodiesBytes: int64(float64(cmp.Or(s.MemoryBytes, defaultMemory)) * bodiesShare),
		IDHeader:       ggsdialect.HeaderRequestID,
		Keys: ggsedge.Keys{
			Operators: ggsdialect.OperatorPrefix, Config: ggsdialect.ConfigKey, Instances: ggsdialect.InstancePrefix, Own: "greengageslip",
		},
	}, ggsedge.Parts{
		Store: ggsdialect.NewStore(s.Store), Codec: ggsdialect.Codec{}, Dialect: ggsdialect.Headers{},
		Orderer: ggsdialect.NewOrderer(p), Pool: p, Peers: u, Calls: ggsrpc.NewPool(ggsrpc.PoolOptions{}),
		Log: l, Now: ggsclock.Boot, Monotonic: t,
	}), nil
}

// startEdge starts the parts of an edge. Hooks stop in the reverse order.
func startEdge(h host, s *ggsdialect.Settings, c *edgeCommandLine, e *ggsedge.Edge, p *ggsexchange.Pool, t clock) {
	h.Lifecycle.Append(fx.Hook{OnStop: func(context.Context) error {
		p.Close()
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
	h.serveRPC(s.Control, func(ctx context.Context, r *ggsrpc.Server) error {
		return r.Register("Placement", ggsedge.NewPlacement(ctx, e))
	})
	serveCallers(h, s, e)
	h.serveHTTP("ready", s.Ready, edgeState(s, e, t))
	if c.MetricsPort > 0 {
		h.serveHTTP("metrics", netip.AddrPortFrom(s.Addr, c.MetricsPort), e.Metrics())
	}
}

// rereadSettings checks the settings file whenever it is said to have changed.
// What a process is and where it listens holds until it starts again.
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

// serveCallers serves callers. A planned stop first says that the process
// isn't ready and goes on serving until callers' connections go elsewhere,
// then waits for what is under way.
func serveCallers(h host, s *ggsdialect.Settings, e *ggsedge.Edge) {
	v := &http.Server{
		Handler: e, ReadHeaderTimeout: edgeHeaderTimeout, IdleTimeout: edgeIdleTimeout, MaxHeaderBytes: edgeHeaderBytes,
	}
	h.Lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			l, err := listen(ctx, s.Callers)
			if err != nil {
				return err
			}
			go func() {
				if err := v.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
					_ = level.Error(h.Log).Log("event", ggslog.EventPartFailed, "part", "callers", "err", err)
					_ = h.Shutdowner.Shutdown(fx.ExitCode(exitFailure))
				}
			}()
			_ = level.Info(h.Log).Log("event", ggslog.EventListening, "part", "callers", "addr", s.Callers)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			e.Drain()
			t := time.NewTimer(deregisterDelay)
			defer t.Stop()
			select {
			case <-t.C:
			case <-ctx.Done():
			}
			ctx, cancel := context.WithTimeout(ctx, max(s.Grace-deregisterDelay-graceMargin, time.Second))
			defer cancel()
			if err := v.Shutdown(ctx); err != nil {
				_ = level.Warn(h.Log).Log("event", ggslog.EventRequestsCut, "active", e.Stats().InFlight.Load(), "err", err)
				return v.Close()
			}
			return nil
		},
	})
}

// edgeState serves readiness, metrics and the state's dump.
func edgeState(s *ggsdialect.Settings, e *ggsedge.Edge, c clock) http.Handler {
	t := ggsstate.New(edgeProgram, s.VM, c)
	k := e.Stats()
	t.Count("requests", k.Requests.Load)
	t.Count("answered", k.Answered.Load)
	t.Count("refused", k.Refused.Load)
	t.Count("failed", k.Failed.Load)
	t.Count("callersLeft", k.CallersLeft.Load)
	t.Count("retries", k.Retries.Load)
	t.Count("orders", k.Orders.Load)
	t.Count("storeCalls", k.StoreCalls.Load)
	t.Count("active", k.InFlight.Load)
	t.Add("edge", func() any { return e.State() })
	t.SetHealth(e.Ready)
	g := t.HandlerWithHealth(ggsdialect.PathReady)
	g.GET(metricsPath, gin.WrapH(e.Metrics()))
	return g
}
