package ggsnode_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"os"
	"os/exec" //nolint:depguard // the test observes real processes from outside; the product starts none
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakesite"
	ggsdialect "greengageslip/platform"
)

// crowdPrograms builds the system's own programs, without the race detector, whose memory isn't theirs.
//
//nolint:gochecknoglobals // built once for all tests
var crowdPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "ggs-programs-")
	if err != nil {
		return "", err
	}
	crowdProgramsDir.Store(&dir)
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", dir+"/", "greengageslip/cmd/"+edgeProgram,
		"greengageslip/cmd/"+gatewayProgram, "greengageslip/cmd/"+dispatcherProgram).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out) //nolint:forbidigo // a test's failure is read by people
	}
	return dir, nil
})

// crowdProgramsDir is the folder of the programs, nil before they are built.
var crowdProgramsDir atomic.Pointer[string] //nolint:gochecknoglobals // removed at the end of all tests

// removeCrowdPrograms removes the programs, if they were built.
func removeCrowdPrograms() {
	if dir := crowdProgramsDir.Load(); dir != nil {
		_ = os.RemoveAll(*dir)
	}
}

// crowdLimits are the limits of a process, and the descriptors that a crowd must leave free.
type crowdLimits struct {
	memory         int64
	files, reserve int
}

// loweredLimits returns the limits with which a small crowd shows a fault.
func loweredLimits() crowdLimits {
	return crowdLimits{memory: crowdMemory, files: crowdFiles, reserve: crowdReserve}
}

// A crowdProcess is a real process with limits.
type crowdProcess struct {
	c      *qt.C
	limits crowdLimits
	cmd    *exec.Cmd
	ended  chan struct{}
	logs   *lockedBuffer
	// files and memory are the greatest numbers of open descriptors and of bytes of memory that were sampled. The memory includes what
	// the system has received for the process and the process hasn't read yet.
	files, memory atomic.Int64
	sample        sync.WaitGroup
}

// startCrowdProcess starts a program whose limits of memory and descriptors are lowered.
func startCrowdProcess(c *qt.C, k crowdLimits, program string, env []string, args ...string) *crowdProcess {
	dir, err := crowdPrograms()
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, k.files)
	p := &crowdProcess{c: c, limits: k, ended: make(chan struct{}), logs: &lockedBuffer{}}
	p.cmd = exec.CommandContext(ctx, "/bin/sh", append([]string{"-c", limited, filepath.Join(dir, program)}, args...)...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = p.logs, p.logs
	c.Assert(p.cmd.Start(), qt.IsNil)
	go func() {
		defer close(p.ended)
		_ = p.cmd.Wait() // the kill makes this an error
	}()
	p.sample.Go(func() { p.sampleUse(ctx) })
	c.Cleanup(func() {
		cancel()
		<-p.ended
		p.sample.Wait()
		if c.Failed() {
			text := p.logs.String()
			c.Logf("end of the log of %s:\n%s", program, text[max(len(text)-2000, 0):])
		}
	})
	return p
}

// sampleUse keeps the greatest numbers of open descriptors and of bytes of memory.
func (p *crowdProcess) sampleUse(ctx context.Context) {
	for ctx.Err() == nil && p.lives() {
		if l, err := os.ReadDir(p.proc("fd")); err == nil {
			p.files.Store(max(p.files.Load(), int64(len(l))))
			p.memory.Store(max(p.memory.Load(), p.residentBytes()+p.unreadBytes(l)))
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// residentBytes returns the process's resident memory in bytes, zero if it has ended.
func (p *crowdProcess) residentBytes() int64 {
	b, err := os.ReadFile(p.proc("statm"))
	if f := strings.Fields(string(b)); err == nil && len(f) > 1 {
		n, _ := strconv.ParseInt(f[1], 10, 64)
		return n * int64(os.Getpagesize())
	}
	return 0
}

// unreadBytes returns the bytes that the system has received on the connections among the given descriptors.
func (p *crowdProcess) unreadBytes(files []os.DirEntry) int64 {
	inodes := map[string]bool{}
	for _, f := range files {
		if l, err := os.Readlink(p.proc("fd/" + f.Name())); err == nil {
			inodes[strings.TrimSuffix(strings.TrimPrefix(l, "socket:["), "]")] = true
		}
	}
	const (
		state, queues, inode = 3, 4, 9
		listening            = "0A"
	)
	b, err := os.ReadFile("/proc/net/tcp")
	p.c.Check(err, qt.IsNil)
	sum := int64(0)
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) <= inode || !inodes[f[inode]] || f[state] == listening {
			continue
		}
		_, received, _ := strings.Cut(f[queues], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		p.c.Check(err, qt.IsNil)
		sum += n
	}
	return sum
}

func (p *crowdProcess) proc(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), name)
}

func (p *crowdProcess) lives() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// peakBytes returns the process's peak resident memory in bytes.
func (p *crowdProcess) peakBytes() int64 {
	b, err := os.ReadFile(p.proc("status"))
	p.c.Assert(err, qt.IsNil)
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	text, _, _ := strings.Cut(rest, "kB")
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	p.c.Assert(err, qt.IsNil)
	return n << 10
}

// check checks what must hold while a crowd is connected.
func (p *crowdProcess) check(ordinary func() error) {
	p.c.Helper()
	err := p.retry(ordinary)
	if !p.lives() {
		p.c.Fatalf("the process has ended: %s", p.cmd.ProcessState)
	}
	p.c.Check(err, qt.IsNil, qt.Commentf("an ordinary request isn't answered"))
	peak, files := max(p.peakBytes(), p.memory.Load()), p.files.Load()
	p.c.Logf("peak memory %d MB, open descriptors %d", peak>>20, files)
	p.c.Check(peak <= p.limits.memory, qt.IsTrue, qt.Commentf("peak memory is %d MB of %d", peak>>20, p.limits.memory>>20))
	p.c.Check(int(files) <= p.limits.files-p.limits.reserve, qt.IsTrue, qt.Commentf("%d descriptors are open", files))
}

// await waits until an ordinary request is answered.
func (p *crowdProcess) await(ordinary func() error) {
	p.c.Helper()
	if err := p.retry(ordinary); err != nil {
		p.c.Fatalf("not ready before the crowd: %v", err)
	}
}

// retry sends an ordinary request until it is answered, for crowdDeadline at most, and returns the last error.
func (p *crowdProcess) retry(ordinary func() error) error {
	for end := time.Now().Add(crowdDeadline); ; time.Sleep(50 * time.Millisecond) {
		err := ordinary()
		if err == nil || time.Now().After(end) || !p.lives() {
			return err
		}
	}
}

// plainRequest sends a request on a connection of its own. Any answer of the given status counts.
func plainRequest(method, url, host, body string, status int) error {
	r, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Host = host
	r.Header.Set("Request-Id", "ordinary-"+strconv.FormatInt(time.Now().UnixNano(), 16))
	r.Header.Set("X-Market", "cr")
	r.Header.Set("X-Service", "asistente")
	t := &http.Transport{DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	resp, err := (&http.Client{Transport: t, Timeout: 5 * time.Second}).Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != status {
		err = fmt.Errorf("status %d, want %d: %s", resp.StatusCode, status, b) //nolint:forbidigo // as above
	}
	return err
}

// plainCall makes a call of an unknown method, which is answered with an error.
func plainCall(addr netip.AddrPort) error {
	n, err := net.DialTimeout("tcp", addr.String(), time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = n.Close() }()
	_ = n.SetDeadline(time.Now().Add(2 * time.Second))
	c := rpc.NewClient(n)
	defer func() { _ = c.Close() }()
	if err = c.Call("Unknown.Method", struct{ X int }{}, &struct{}{}); err != nil && strings.Contains(err.Error(), "rpc: can't find service") {
		return nil
	}
	return fmt.Errorf("call: %w", err) //nolint:forbidigo // as above
}

// A crowdEdge is a VM's process before a site.
type crowdEdge struct {
	*crowdProcess
	settings ggsdialect.Settings
	metrics  netip.AddrPort
	site     *ggsfakesite.Site
}

var crowdSites atomic.Int32 //nolint:gochecknoglobals // gives each test addresses of its own

func startCrowdEdge(c *qt.C, k crowdLimits) *crowdEdge {
	p, n := os.Getpid(), byte(crowdSites.Add(1))
	ip := func(k byte) netip.Addr {
		return netip.AddrFrom4([4]byte{127, 160 + byte(p>>8)%64, byte(p), n*2 + k})
	}
	site := netip.AddrPortFrom(ip(0), 7000)
	e := &crowdEdge{metrics: netip.AddrPortFrom(ip(1), 9464), site: ggsfakesite.NewSite(ggsfakesite.SiteOptions{
		Listen: site, Zones: []string{"a", "b"}, Runners: 1, Events: 6, EventTime: 10 * time.Millisecond, Now: time.Now,
	})}
	e.site.Store.Put("op/config", bytes.Replace(ggsfakesite.Config(1, "/chat/"), []byte(`"maxBodyBytes":65536`), fmt.Appendf(nil, `"maxBodyBytes":%d`, crowdBody), 1))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.site.Run(ctx) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	e.settings = ggsdialect.Settings{
		Addr: ip(1), Domain: "a", Callers: netip.AddrPortFrom(ip(1), 7100), Ready: netip.AddrPortFrom(ip(1), 7101),
		Control: netip.AddrPortFrom(ip(1), 7102), FirstPort: 7200, Regions: map[ggscore.Domain]ggscore.Region{"a": "a", "b": "b"},
	}
	file := filepath.Join(c.TempDir(), "edge.yaml")
	c.Assert(os.WriteFile(file, fmt.Appendf(nil, `nodeName: "edge"
ip: "%[1]s"
zone: "a"
region: "a"
zones: {a: "a", b: "b"}
listen: {front: "%[1]s:7100", ready: "%[1]s:7101", control: "%[1]s:7102"}
portRange: [7200, 7210]
bootstrap: true
limits: {cores: 1, memoryMb: %[2]d, maxFds: %[3]d}
bounds: {graceS: 8, leaseMs: 3000, retryBudgetRatio: 0.2, retrySlack: 58}
platform: {address: "%[4]s"}
`, ip(1), k.memory>>20, k.files, site), 0o600), qt.IsNil)
	e.crowdProcess = startCrowdProcess(c, k, edgeProgram, []string{"GREENGAGESLIP_NODE_FILE=" + file}, "--metrics-port", "9464")
	e.await(e.ordinary)
	return e
}

// ordinary sends a request of a caller that behaves.
func (e *crowdEdge) ordinary() error {
	return plainRequest(http.MethodPost, "http://"+e.settings.Callers.String()+"/pay/1", ggsfakesite.Host, "{}", http.StatusOK)
}

// edgeHead begins the head of a request of an edge's caller.
func edgeHead() string {
	return "POST /chat/1 HTTP/1.1\r\nHost: " + ggsfakesite.Host + "\r\nRequest-Id: crowd\r\nDeadline-Ms: 30000\r\n"
}

// A crowdDeployment is a gateway and a dispatcher of our own interface, both real processes with lowered limits.
type crowdDeployment struct {
	*testDeployment
	gateway, dispatcher *crowdProcess
	gatewayVM           entryVM
	dispatcherVM        entryVM
}

func startCrowdDeployment(t *testing.T, k crowdLimits) *crowdDeployment {
	b := newTestDeployment(t)
	b.engine("runner-1", "a", nil)
	b.apply("services", servicesSection)
	b.apply("policy", strings.Replace(policySection, "maxBodyBytes = 65536", "maxBodyBytes = "+strconv.Itoa(crowdBody), 1))
	b.apply("market/cr", marketSection)
	d := &crowdDeployment{testDeployment: b, dispatcherVM: b.dispatcherVM(1, "a"), gatewayVM: b.gatewayVM(1, "a")}
	env := []string{"GOMEMLIMIT=" + strconv.FormatInt(k.memory, 10)}
	b.list(d.dispatcherVM.vm, ggscore.RoleEntry, "a", d.dispatcherVM.port, "")
	d.dispatcher = startCrowdProcess(b.c, k, dispatcherProgram, env, "--settings", b.settings(d.dispatcherVM))
	d.gateway = startCrowdProcess(b.c, k, gatewayProgram, env, "--settings", b.settings(d.gatewayVM))
	d.gateway.await(d.ordinary)
	return d
}

// ordinary sends a request of a caller that behaves.
func (d *crowdDeployment) ordinary() error {
	return plainRequest(http.MethodPost, "http://"+d.addr(d.gatewayVM.port).String()+"/v1/chat/completions", "",
		`{"model":"deposits","messages":[]}`, http.StatusOK)
}
