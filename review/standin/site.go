package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"greengageslip/fakes/ggsfakesite"
)

const (
	frontPort   = 7100
	readyPort   = 7101
	controlPort = 7102
	metricsPort = 9464 // of the deploy file's command
	peerPort    = 7380
	storePort   = 8142
	runnerPort  = 8080
	// firstEdge and firstRunner are the last numbers of the first addresses, maxEdges and maxRunners how many a
	// site has at most.
	firstEdge   = 11
	firstRunner = 100
	maxEdges    = 9
	maxRunners  = 12
	// startTime bounds the time until all edges are ready.
	startTime = 20 * time.Second
)

var (
	zones   = []string{"perth-a", "kal-a", "bunbury-a"}
	regions = map[string]string{"perth-a": "perth", "kal-a": "goldfields", "bunbury-a": "southwest"}
)

// configText is the configuration, for a version and the route's timeout in milliseconds.
const configText = `{"version":%d,"routes":[{"name":"r-1","hostname":"ficu95.example","pathPrefix":"/pufi791/","routeType":"streaming","timeoutMs":%d,"targetLatencyMs":800,"priority":0,"service":"assist-llm","maxAttempts":1,"stickySessions":true,"resumable":false,"gapAimMs":600}],
"services":[{"name":"assist-llm","healthPath":"/healthz","maxConnections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":250875,"kvTokenBytes":163840,"linkMbps":550000.0,"moves":true,"backups":true,"stride":5,"cap":12,"hostMb":150000.0,"diskMb":450000.0,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"daka510000","weightsMb":65100.0,"loadS":1.9,"adapters":3000,"adapterMb":12.0,"warmS":0.38,"diskS":0.76}],"weightsMb":66600.0,"adapterSlots":16,"loadsPerS":4.2}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// A journal writes record.txt.
type journal struct {
	mu    sync.Mutex
	w     *bufio.Writer
	start time.Time
}

func (j *journal) log(format string, a ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.w, "%8.3f  %s\n", time.Since(j.start).Seconds(), fmt.Sprintf(format, a...))
	_ = j.w.Flush()
}

// noEra hides a header that the project's store sends and that this deployment's pages don't name.
type noEra struct{ http.ResponseWriter }

func (w noEra) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

// A site is a store, its runners and the edges.
type site struct {
	j       *journal
	dir     string
	root    string
	net     string
	store   *ggsfakesite.Store
	server  *http.Server
	address string
	runners []*runner
	edges   []*edge
}

// newSite starts the store, runners and edges, as many a zone as given, and waits until the edges are ready.
func newSite(ctx context.Context, j *journal, root string, runnersPerZone []int, edgesPerZone int) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{j: j, dir: dir, root: root, store: ggsfakesite.NewStore()}
	if s.net, err = freeNet(); err != nil {
		return s, err
	}
	s.store.Put("op/config", fmt.Appendf(nil, configText, 7, 5000))
	l, err := net.Listen("tcp", fmt.Sprintf("%s.9:%d", s.net, storePort))
	if err != nil {
		return s, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { s.store.ServeHTTP(noEra{w}, q) })}
	go func() { _ = s.server.Serve(l) }()
	for z, zone := range zones {
		for range runnersPerZone[z] {
			n := len(s.runners)
			r := newRunner(j, s.store, fmt.Sprintf("i-7f3a91%02x", n), fmt.Sprintf("%s.%d:%d", s.net, firstRunner+n, runnerPort), zone)
			if err := r.start(); err != nil {
				return s, err
			}
			s.runners = append(s.runners, r)
			go r.beat(ctx)
		}
		for range edgesPerZone {
			if err := s.addEdge(zone); err != nil {
				return s, err
			}
		}
	}
	for _, e := range s.edges {
		if err := e.start(true); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady(ctx)
}

// freeNet returns the first three numbers of a loopback network in which no port that a site uses is taken.
func freeNet() (string, error) {
	for range 20 {
		n := fmt.Sprintf("127.%d.%d", rand.IntN(250)+2, rand.IntN(250)+2)
		if free(n) {
			return n, nil
		}
	}
	return "", errors.New("no free loopback network")
}

// free reports whether all ports that a site uses in a network can be listened on.
func free(network string) bool {
	addrs := []string{fmt.Sprintf("%s.9:%d", network, storePort)}
	for n := range maxRunners {
		addrs = append(addrs, fmt.Sprintf("%s.%d:%d", network, firstRunner+n, runnerPort))
	}
	for n := range maxEdges {
		for _, port := range []int{frontPort, readyPort, controlPort, metricsPort, peerPort} {
			addrs = append(addrs, fmt.Sprintf("%s.%d:%d", network, firstEdge+n, port))
		}
		u, err := net.ListenPacket("udp4", fmt.Sprintf("%s.%d:%d", network, firstEdge+n, peerPort))
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	for _, a := range addrs {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (s *site) awaitReady(ctx context.Context) error {
	until := time.Now().Add(startTime)
	for _, e := range s.edges {
		for !e.ready() {
			if sleep(ctx, 20*time.Millisecond); ctx.Err() != nil || time.Now().After(until) {
				return fmt.Errorf("%s isn't ready", e.name)
			}
		}
	}
	s.j.log("all %d edges are ready", len(s.edges))
	return nil
}

// close ends everything that the site started, and removes its folder. With KEEP_LOGS, the edges' logs are kept in that folder.
func (s *site) close() {
	for _, e := range s.edges {
		e.end(syscall.SIGKILL)
		if d := os.Getenv("KEEP_LOGS"); d != "" {
			b, _ := os.ReadFile(e.log.Name())
			_ = os.WriteFile(filepath.Join(d, e.name+".log"), b, 0o600)
		}
		_ = e.log.Close()
	}
	for _, r := range s.runners {
		r.mu.Lock()
		v := r.server
		r.mu.Unlock()
		if v != nil {
			_ = v.Close()
		}
	}
	if s.server != nil {
		_ = s.server.Close()
	}
	_ = os.RemoveAll(s.dir)
}

// An edge is a process of the system at one VM.
type edge struct {
	site           *site
	name, zone, ip string
	settings       string
	log            *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (s *site) addEdge(zone string) error {
	n := len(s.edges)
	e := &edge{site: s, name: fmt.Sprintf("front-%s-%d", zone, n%3+1), zone: zone, ip: fmt.Sprintf("%s.%d", s.net, firstEdge+n)}
	if len(s.edges) < 3 && zone != zones[0] {
		e.name = fmt.Sprintf("front-%s-1", zone)
	}
	e.settings = filepath.Join(s.dir, fmt.Sprintf("boot-%d.yaml", n))
	log, err := os.Create(filepath.Join(s.dir, fmt.Sprintf("edge-%d.log", n)))
	e.log = log
	s.edges = append(s.edges, e)
	return err
}

// start starts the deploy file's command. first is set at the first start of the whole system.
func (e *edge) start(first bool) error {
	if err := e.writeSettings(first); err != nil {
		return err
	}
	c := exec.Command(filepath.Join(e.site.root, "target/ggsedge"), "--metrics-port", strconv.Itoa(metricsPort), "--policy", "deploy/policy.toml")
	c.Dir = e.site.root
	c.Env = append(os.Environ(), "GREENGAGESLIP_NODE_FILE="+e.settings)
	c.Stdout, c.Stderr = e.log, e.log
	// No edge outlives this process.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd = c
	return c.Start()
}

// end sends a signal to the process and waits for its end.
func (e *edge) end(sig syscall.Signal) {
	e.mu.Lock()
	c := e.cmd
	e.cmd = nil
	e.mu.Unlock()
	if c != nil && c.Process != nil {
		_ = c.Process.Signal(sig)
		_ = c.Wait()
	}
}

func (e *edge) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get(fmt.Sprintf("http://%s:%d/greengageslip/readyz", e.ip, readyPort))
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

func (e *edge) writeSettings(first bool) error {
	seeds := ""
	for n, o := range e.site.edges {
		if n%max(len(e.site.edges)/3, 1) == 0 {
			seeds += fmt.Sprintf("\n  - \"%s:%d\"", o.ip, controlPort)
		}
	}
	text := fmt.Sprintf(`nodeName: %q
role: "edge"
machineClass: "front"
serves: ["front", "control"]
ip: %q
zone: %q
region: %q
zones: {perth-a: "perth", kal-a: "goldfields", bunbury-a: "southwest"}
listen: {front: "%s:%d", ready: "%s:%d", control: "%s:%d"}
portRange: [%d, %d]
seeds:%s
bootstrap: %v
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
faultTolerance: {machines: 2, zones: 0, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2500, graceS: 8, lossSlackMs: 200, configApplyMs: 2500, rollbackSlackMs: 250, outerMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retrySlack: 58, recoverS: 12, passMs: 200, retryAfterS: 0, requireFencing: false, leaseMs: 3000, thawSlackMs: 300, ceilingWindowS: 5, ceilingOverage: 1.1, version_ms: 5000}
platform: {address: %q, form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
`, e.name, e.ip, e.zone, regions[e.zone], e.ip, frontPort, e.ip, readyPort, e.ip, controlPort, peerPort, peerPort+15, seeds, first, e.site.address)
	return os.WriteFile(e.settings, []byte(text), 0o600)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
