package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"greengageslip/cmd/ggsnode"
	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakeengine"
	"greengageslip/fakes/ggsfakeplain"
)

// The ports of a session's processes. Each session has an IP address of its own.
const (
	enginePort          = 8000
	plainPort           = 8100
	dispatcherPort      = 7100
	gatewayPort         = 7200
	dispatcherStatePort = 7300
	gatewayStatePort    = 7301
)

// endpoints is the number of a session's endpoints.
const endpoints = 2

// slowToken is the time between tokens of a slow deployment.
const slowToken = 20 * time.Millisecond

// minLastOctet is the least last octet of a session's address. Tests of package ggsnode use
// lower ones, so that a test process with the same address prefix has other addresses.
const minLastOctet = 100

var deployments atomic.Int32 //nolint:gochecknoglobals // gives each session an IP address

// A deployment is a runner, a ledger, a gateway and one or two dispatchers.
type deployment struct {
	ts     *testscript.TestScript
	s      *session
	ip     netip.Addr
	engine *ggsfakeengine.Engine
	// stops has the functions that stop the processes gracefully, by label.
	stops map[string]func() int
	vms   []ggscore.VM
}

// startDeployment starts a small deployment of the real processes' code, and waits
// until the gateway serves.
//
// Flags: "two" starts a second dispatcher, "slow" makes each token take 20 ms,
// "narrow" gives the runner one slot.
func startDeployment(ts *testscript.TestScript, _ bool, args []string) {
	p := os.Getpid()
	d := &deployment{
		ts: ts, s: sessionOf(ts),
		ip:    netip.AddrFrom4([4]byte{127, byte(p), byte(p >> 8), byte(minLastOctet + deployments.Add(1))}),
		stops: map[string]func() int{},
	}
	d.s.deployed = d
	o := ggsfakeengine.DefaultOptions()
	o.ID, o.Slots, o.AdapterSlots, o.ChecksFence = "runner-1", 8, 4, true
	o.TokenInterval, o.FirstToken, o.DefaultTokens = time.Millisecond, time.Millisecond, 3
	if slices.Contains(args, "slow") {
		o.TokenInterval = slowToken
	}
	e := ggsfakeengine.New(o)
	d.engine = e
	ts.Defer(e.Close)
	d.serve(enginePort, e.Handler())
	d.serve(plainPort, ggsfakeplain.New(ggsfakeplain.Options{ID: "ledger-1"}).Handler())
	d.list()
	d.start("DISPATCHER", "cr-1", ggsnode.RunDispatcher, dispatcherPort, dispatcherStatePort)
	if slices.Contains(args, "two") {
		d.vms = append(d.vms, d.entry("cr-2", dispatcherPort+1))
		d.s.platform.SetVMs(d.vms)
		d.start("DISPATCHER-2", "cr-2", ggsnode.RunDispatcher, dispatcherPort+1, dispatcherStatePort+2)
	}
	d.start("GATEWAY", "cr-1", ggsnode.RunGateway, gatewayPort, gatewayStatePort)
	d.s.name("GATEWAY", d.addr(gatewayPort))
	d.s.name("DISPATCHER-STATE", d.addr(dispatcherStatePort))
	d.s.name("GATEWAY-STATE", d.addr(gatewayStatePort))
	d.awaitGateway()
}

func (d *deployment) addr(port uint16) netip.AddrPort { return netip.AddrPortFrom(d.ip, port) }

func (d *deployment) awaitGateway() {
	ctx, cancel := context.WithTimeout(context.Background(), sessionDeadline)
	defer cancel()
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for !d.healthy(ctx) {
		select {
		case <-ctx.Done():
			d.ts.Fatalf("the gateway is not healthy in time")
		case <-t.C:
		}
	}
}

// healthy reports whether the gateway has a document and an owner for each endpoint.
func (d *deployment) healthy(ctx context.Context) bool {
	state := "http://" + d.addr(gatewayStatePort).String()
	code, _ := d.get(ctx, state+"/healthz")
	_, text := d.get(ctx, state+"/state")
	return code == http.StatusOK && bytes.Count(text, []byte(`"mode": "full"`)) == endpoints
}

func (d *deployment) get(ctx context.Context, url string) (int, []byte) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	d.ts.Check(err)
	s, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = s.Body.Close() }()
	text, err := io.ReadAll(s.Body)
	if err != nil {
		return 0, nil
	}
	return s.StatusCode, text
}

// list sets the platform's list of VMs.
func (d *deployment) list() {
	vm := ggscore.VM{Role: ggscore.RoleEndpoint, Region: "central", Domain: "cr-central-a"}
	runner, ledger := vm, vm
	runner.ID, runner.Addr, runner.Service = "runner-1", d.addr(enginePort), "asistente"
	ledger.ID, ledger.Addr, ledger.Service = "ledger-1", d.addr(plainPort), "custodia"
	d.vms = []ggscore.VM{d.entry("cr-1", dispatcherPort), runner, ledger}
	d.s.platform.SetVMs(d.vms)
}

func (d *deployment) entry(id ggscore.VMID, port uint16) ggscore.VM {
	return ggscore.VM{ID: id, Role: ggscore.RoleEntry, Region: "central", Domain: "cr-central-a", Addr: d.addr(port)}
}

func (d *deployment) serve(port uint16, h http.Handler) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", d.addr(port).String())
	d.ts.Check(err)
	s := &http.Server{Handler: h, ReadHeaderTimeout: sessionDeadline}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	d.ts.Defer(func() {
		_ = s.Close()
		<-done
	})
}

// start starts a process, and stops it at the end of the session.
func (d *deployment) start(
	label, vm string, run func(context.Context, []string, io.Writer, io.Writer) int, port, statePort uint16,
) {
	text := fmt.Sprintf("vm = %q\nregion = \"central\"\ndomain = \"cr-central-a\"\nlisten = %q\nstateListen = %q\n"+
		"platform = %q\nlistInterval = \"50ms\"\ndrainTimeout = \"10s\"\n",
		vm, d.addr(port), d.addr(statePort), d.s.addrs["PLATFORM"])
	f := filepath.Join(d.ts.MkAbs("."), fmt.Sprintf("node-%d.toml", port))
	d.ts.Check(os.WriteFile(f, []byte(text), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan int, 1)
	w := &lockedBuffer{}
	go func() { done <- run(ctx, []string{"--settings", f}, w, w) }()
	stop := sync.OnceValue(func() int {
		cancel()
		return <-done
	})
	d.stops[label] = stop
	d.ts.Defer(func() {
		if code := stop(); code != 0 {
			d.ts.Logf("process ended with %d\n%s", code, w.String())
		}
	})
}

// A lockedBuffer holds a process's log and is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}
