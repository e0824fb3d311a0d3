package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// A record writes what happened to the case's record, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	since time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, since: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.since).Seconds(), fmt.Sprintf(format, args...))
}

// A network is a range of loopback addresses that nobody else uses.
type network struct{ prefix string }

// freeNetwork finds unused addresses 127.A.B.*.
func freeNetwork() (network, error) {
	p := os.Getpid()
	for k := range 200 {
		n := network{fmt.Sprintf("127.%d.%d", 20+(p/200+k)%200, 1+(p+k)%250)}
		l, err := net.Listen("tcp", n.addr(1, 7999))
		if err != nil {
			continue
		}
		_ = l.Close()
		return n, nil
	}
	return network{}, fmt.Errorf("no free loopback addresses")
}

func (n network) ip(host int) string          { return fmt.Sprintf("%s.%d", n.prefix, host) }
func (n network) addr(host, port int) string  { return fmt.Sprintf("%s:%d", n.ip(host), port) }
func (n network) zone(k int) string           { return string(rune('a' + k)) }
func (e *edge) front() string                 { return net.JoinHostPort(e.ip, "7100") }
func (e *edge) ready() string                 { return net.JoinHostPort(e.ip, "7101") }
func (e *edge) signal(s syscall.Signal) error { return e.cmd.Process.Signal(s) }

// An edge is one VM with its process, which is started with the deploy file's command.
type edge struct {
	name, ip, zone, store, dir string
	seeds                      []string
	cmd                        *exec.Cmd
	exited                     chan struct{}
}

const settings = `nodeName: "%[1]s"
role: "edge"
machineClass: "front"
serves: ["front", "control"]
ip: "%[2]s"
zone: "%[3]s"
region: "r-%[3]s"
zones: {a: "r-a", b: "r-b", c: "r-c"}
listen: {front: "%[2]s:7100", ready: "%[2]s:7101", control: "%[2]s:7102"}
portRange: [7200, 7215]
seeds: [%[4]s]
bootstrap: false
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
faultTolerance: {machines: 2, zones: 0, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2500, graceS: 8, lossSlackMs: 200, configApplyMs: 2500, rollbackSlackMs: 250, outerMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retrySlack: 58, recoverS: 12, passMs: 200, retryAfterS: 0, requireFencing: false, leaseMs: 3000, thawSlackMs: 300, ceilingWindowS: 5, ceilingOverage: 1.1, version_ms: 5000}
platform: {address: "%[5]s", form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
`

// start starts the process. The working directory is the repository's root.
func (e *edge) start() error {
	file := filepath.Join(e.dir, e.name+".yaml")
	seeds := ""
	for k, s := range e.seeds {
		if k > 0 {
			seeds += ", "
		}
		seeds += `"` + s + `"`
	}
	if err := os.WriteFile(file, fmt.Appendf(nil, settings, e.name, e.ip, e.zone, seeds, e.store), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.cmd = exec.Command("target/ggsedge", "--metrics-port", "9464", "--policy", "deploy/policy.toml")
	e.cmd.Env = []string{"GREENGAGESLIP_NODE_FILE=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	// A process that outlives the case would occupy its addresses.
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(e.cmd, e.exited)
	return nil
}

// isReady reports whether the process says that it is ready.
func (e *edge) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + e.ready() + "/greengageslip/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// kill ends the process at once.
func (e *edge) kill() {
	if e.cmd != nil && e.cmd.Process != nil {
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
		_ = e.cmd.Process.Kill()
		<-e.exited
	}
}
