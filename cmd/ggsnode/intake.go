package ggsnode

import (
	"cmp"
	"math"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/go-kit/log"

	"greengageslip/core/ggsbudget"
	"greengageslip/io/ggsintake"
	"greengageslip/io/ggspeer"
	"greengageslip/io/ggssettings"
	"greengageslip/io/ggsstate"
	ggsdialect "greengageslip/platform"
)

// The classes of accepted connections, by their listeners.
const (
	classCallers ggsbudget.Class = "callers"
	classTunnels ggsbudget.Class = "tunnels"
	classCalls   ggsbudget.Class = "rpc"
	classReady   ggsbudget.Class = "ready"
	classMetrics ggsbudget.Class = "metrics"
	classState   ggsbudget.Class = "state"
)

const (
	// clientShare is the share of the memory that clients may take in all, and bodiesShare the part of it for bodies, which leaves
	// room for the connections. The garbage collector needs as much again.
	clientShare = 0.45
	bodiesShare = 0.2
	// connBytes is the memory of an idle connection, and requestBytes that of a request in flight beside its head and body.
	connBytes    = 12<<10 + ggspeer.UnreadBytes
	requestBytes = 8 << 10
	// minConns is the least number of connections of a class.
	minConns = 8
)

// The shares of an edge's descriptors, beside those of inFlightShare and tunnelShare. The rest is for the store and for calls to
// peers.
const (
	// callersShare has room for idle connections beside the requests in flight.
	callersShare = 0.38
	callsShare   = 0.08
	// diagnosticShare is that of each listener for readiness or metrics.
	diagnosticShare = 0.01
)

// The shares of the descriptors of a gateway or dispatcher. The rest is for endpoints, peers and the platform's service.
const (
	nodeCallersShare = 0.5
	nodeCallsShare   = 0.25
	nodeStateShare   = 0.02
	// defaultNodeMemory is in bytes, and maxNodeFiles bounds the descriptors that are shared out.
	defaultNodeMemory = 1 << 30
	maxNodeFiles      = 1 << 16
)

// newEdgeIntake returns what bounds the clients of an edge.
func newEdgeIntake(s *ggsdialect.Settings, t clock, l log.Logger) *ggsintake.Intake {
	return ggsintake.New(ggsintake.Options{Limits: edgeLimits(s), Now: t, Log: l})
}

// edgeLimits returns the limits of an edge's clients.
func edgeLimits(s *ggsdialect.Settings) ggsbudget.Limits {
	files := cmp.Or(s.MaxFiles, defaultFiles) - reservedFiles
	k := memoryLimits(cmp.Or(s.MemoryBytes, defaultMemory))
	k.Requests = max(int(inFlightShare*float64(files)), 1)
	k.Conns = map[ggsbudget.Class]int{
		classCallers: shareOf(files, callersShare),
		classTunnels: maxTunnels(s) + minConns,
		classCalls:   shareOf(files, callsShare),
		classReady:   shareOf(files, diagnosticShare),
		classMetrics: shareOf(files, diagnosticShare),
	}
	return k
}

// newGatewayIntake returns what bounds the clients of a gateway.
func newGatewayIntake(s *ggssettings.Gateway, t clock, l log.Logger) *ggsintake.Intake {
	files := nodeFiles(&s.Node)
	memory, known := nodeMemory(&s.Node)
	k := memoryLimits(memory)
	k.Requests = min(cmp.Or(s.MaxInFlight, math.MaxInt), shareOf(files, nodeCallersShare))
	k.Conns = map[ggsbudget.Class]int{classCallers: shareOf(files, nodeCallersShare), classState: shareOf(files, nodeStateShare)}
	if known {
		setMemoryLimit(memory, k)
	}
	return ggsintake.New(ggsintake.Options{Limits: k, Now: t, Log: l})
}

// newDispatcherIntake returns what bounds the clients of a dispatcher.
func newDispatcherIntake(s *ggssettings.Dispatcher, t clock, l log.Logger) *ggsintake.Intake {
	files := nodeFiles(&s.Node)
	memory, known := nodeMemory(&s.Node)
	k := memoryLimits(memory)
	k.Conns = map[ggsbudget.Class]int{classCalls: shareOf(files, nodeCallsShare), classState: shareOf(files, nodeStateShare)}
	if known {
		setMemoryLimit(memory, k)
	}
	return ggsintake.New(ggsintake.Options{Limits: k, Now: t, Log: l})
}

// memoryLimits returns the limits for a process with the given memory in bytes.
func memoryLimits(bytes int64) ggsbudget.Limits {
	return ggsbudget.Limits{
		Bytes: int64(clientShare * float64(bytes)), BodyBytes: int64(bodiesShare * float64(bytes)),
		ConnBytes: connBytes, RequestBytes: requestBytes,
	}
}

// shareOf returns the connections of a class.
func shareOf(files int, share float64) int { return max(int(share*float64(files)), minConns) }

// addClients adds what clients have taken to a state dump.
func addClients(t *ggsstate.State, i *ggsintake.Intake) {
	t.AddCounter("clientsRefused", i.Refused)
	t.AddCounter("clientsGaveWay", i.GaveWay)
	t.AddPart("clients", func() any {
		u, l := i.Usage(), i.Limits()
		return map[string]any{
			"memoryBytes": u.Bytes, "memoryLimitBytes": l.Bytes, "bodyBytes": u.BodyBytes, "bodyLimitBytes": l.BodyBytes,
			"connections": u.Conns, "connectionLimits": l.Conns, "requests": u.Requests, "requestLimit": l.Requests,
		}
	})
}

// initialMemoryLimit returns Go's soft memory limit at the start of the program, in bytes: that of the environment variable GOMEMLIMIT.
//
//nolint:gochecknoglobals // setMemoryLimit changes it
var initialMemoryLimit = sync.OnceValue(func() int64 { return debug.SetMemoryLimit(-1) })

// nodeMemory returns the memory of a gateway or dispatcher in bytes: that of its settings, or else of the environment variable
// GOMEMLIMIT. Without either it returns a default, and false.
func nodeMemory(n *ggssettings.Node) (bytes int64, known bool) {
	memory := cmp.Or(n.MemoryBytes, initialMemoryLimit())
	if memory == math.MaxInt64 {
		return defaultNodeMemory, false
	}
	return memory, true
}

// setMemoryLimit sets Go's soft memory limit for a process with the given memory in bytes.
func setMemoryLimit(memory int64, k ggsbudget.Limits) {
	debug.SetMemoryLimit(memoryLimit(memory, unreadBytes(k)))
}

// unreadBytes returns the memory that the system may take for what the clients of a process have sent and isn't read yet.
func unreadBytes(k ggsbudget.Limits) int64 {
	conns := int64(0)
	for _, n := range k.Conns {
		conns += int64(n)
	}
	return min(conns, k.Bytes/k.ConnBytes) * ggspeer.UnreadBytes
}

// nodeFiles returns the number of descriptors of a gateway or dispatcher: that of its settings, or the process's limit.
func nodeFiles(n *ggssettings.Node) int {
	if n.MaxFiles > 0 {
		return n.MaxFiles
	}
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > maxNodeFiles {
		return maxNodeFiles
	}
	return int(r.Cur) //nolint:gosec // at most maxNodeFiles
}
