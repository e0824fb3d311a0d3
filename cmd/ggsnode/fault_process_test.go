package ggsnode_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec" //nolint:depguard // a test kills and freezes real processes; the product starts none
	"strings"
	"sync"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengageslip/cmd/ggsnode"
	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakeengine"
	"greengageslip/fakes/ggsfakelink"
)

const (
	// programVariable is the environment variable with the program that the test binary runs.
	programVariable   = "GGSNODE_TEST_PROGRAM"
	dispatcherProgram = "ggsdispatcher"
	gatewayProgram    = "ggsgateway"
	edgeProgram       = "ggsedge"

	shortLease = `leaseTtl = "2s"`
)

// TestMain runs the test binary as one of the programs if programVariable is set, so that tests
// can kill and freeze real processes.
func TestMain(m *testing.M) {
	programs := map[string]func(context.Context, []string, io.Writer, io.Writer) int{
		dispatcherProgram: ggsnode.RunDispatcher,
		gatewayProgram:    ggsnode.RunGateway,
		edgeProgram:       ggsnode.RunPartitionableEdge,
	}
	run := programs[os.Getenv(programVariable)]
	if run == nil {
		w := watchStalls()
		code := m.Run()
		removeCrowdPrograms()
		if text := w.report(); code != 0 {
			fmt.Print(text)
		}
		os.Exit(code)
	}
	// The standard input is closed when the test process ends; the child then ends too.
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(1)
	}()
	os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

// A process is a node in a child process.
type process struct {
	node
	c   *qt.C
	cmd *exec.Cmd
}

// dispatcherProcess starts a dispatcher in a child process and adds it to the list of VMs.
func (b *testDeployment) dispatcherProcess(n int, domain string, more ...string) *process {
	v := b.dispatcherVM(n, domain, more...)
	b.list(v.vm, ggscore.RoleEntry, domain, v.port, "")
	return b.spawn(dispatcherProgram, v)
}

// gatewayProcess starts a gateway in a child process and waits until it is ready.
func (b *testDeployment) gatewayProcess(n int, domain string) *process {
	p := b.spawn(gatewayProgram, b.gatewayVM(n, domain))
	b.ready(&p.node)
	return p
}

func (b *testDeployment) spawn(program string, v entryVM) *process {
	cmd := exec.CommandContext(b.ctx, os.Args[0], "--settings", b.settings(v))
	cmd.Env = append(os.Environ(), programVariable+"="+program)
	cmd.Stdout, cmd.Stderr = b.logs, b.logs
	_, err := cmd.StdinPipe()
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(cmd.Start(), qt.IsNil)
	p := &process{node: node{addr: b.addr(v.port), state: b.addr(v.state)}, c: b.c, cmd: cmd}
	kill := sync.OnceFunc(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	b.c.Cleanup(kill)
	p.stop = func() int {
		kill()
		return 0
	}
	return p
}

func (p *process) signal(s syscall.Signal) {
	p.c.Helper()
	p.c.Assert(p.cmd.Process.Signal(s), qt.IsNil)
}

// A dispatcherDump has the parts of a dispatcher's state dump that these tests read.
type dispatcherDump struct {
	Parts struct {
		Dispatcher struct {
			Endpoints []struct {
				ID       string   `json:"id"`
				Mode     string   `json:"mode"`
				Leaving  bool     `json:"leaving"`
				Running  int      `json:"running"`
				Queued   int      `json:"queued"`
				Resident []string `json:"resident"`
				Loading  []string `json:"loading"`
			} `json:"endpoints"`
			Jobs []struct {
				ID    string `json:"id"`
				State string `json:"state"`
			} `json:"jobs"`
		} `json:"dispatcher"`
		Owners []struct {
			Mode  string `json:"mode"`
			Owner string `json:"owner"`
		} `json:"owners"`
		Members []struct {
			VM string `json:"vm"`
		} `json:"members"`
	} `json:"parts"`
}

func (b *testDeployment) dump(n *node) dispatcherDump {
	var d dispatcherDump
	if status, _, text := b.get("http://" + n.state.String() + "/state"); status == http.StatusOK {
		b.c.Assert(json.Unmarshal([]byte(text), &d), qt.IsNil, qt.Commentf("%s", text))
	}
	return d
}

// ownsAll reports whether a dispatcher is in full mode at all of its endpoints.
func (b *testDeployment) ownsAll(n *node) bool {
	es := b.dump(n).Parts.Dispatcher.Endpoints
	for i := range es {
		if es[i].Mode != "full" {
			return false
		}
	}
	return len(es) > 0
}

// residentCount returns the number of adapters that a dispatcher has as resident at an endpoint.
func (b *testDeployment) residentCount(n *node, id string) int {
	for _, e := range b.dump(n).Parts.Dispatcher.Endpoints {
		if e.ID == id {
			return len(e.Resident)
		}
	}
	return 0
}

// loading reports whether a dispatcher has a load in progress at an endpoint.
func (b *testDeployment) loading(n *node, id string) bool {
	for _, e := range b.dump(n).Parts.Dispatcher.Endpoints {
		if e.ID == id {
			return len(e.Loading) > 0
		}
	}
	return false
}

// leaving reports whether a dispatcher has an endpoint as leaving.
func (b *testDeployment) leaving(n *node, id string) bool {
	for _, e := range b.dump(n).Parts.Dispatcher.Endpoints {
		if e.ID == id {
			return e.Leaving
		}
	}
	return false
}

// jobCount returns the number of a dispatcher's requests in a state.
func (b *testDeployment) jobCount(n *node, state string) int {
	k := 0
	for _, j := range b.dump(n).Parts.Dispatcher.Jobs {
		if j.State == state {
			k++
		}
	}
	return k
}

// counter returns the value of a counter of a node.
func (b *testDeployment) counter(n *node, name string) int64 {
	var v struct {
		Counters map[string]int64 `json:"greengageslip"`
	}
	if status, _, text := b.get("http://" + n.state.String() + "/debug/vars"); status == http.StatusOK {
		b.c.Assert(json.Unmarshal([]byte(text), &v), qt.IsNil, qt.Commentf("%s", text))
	}
	return v.Counters[name]
}

// ownerAndStandby starts a dispatcher of domain a in a child process, waits until it owns the
// domain's endpoints, and then starts a second one in the test's process. The lines of more are
// added to the settings of the first.
func (b *testDeployment) ownerAndStandby(lease string, more ...string) (*process, *node) {
	first := b.dispatcherProcess(1, "a", append(more, lease)...)
	b.eventually("the first dispatcher owns the endpoints", func() bool { return b.ownsAll(&first.node) })
	second := b.dispatcher(2, "a", lease)
	b.eventually("the dispatchers know each other", func() bool {
		return len(b.dump(second).Parts.Members) == 2 && len(b.dump(&first.node).Parts.Members) == 2
	})
	b.c.Assert(b.ownsAll(&first.node), qt.IsTrue)
	return first, second
}

// link starts a proxy link from one port of the deployment to another.
func (b *testDeployment) link(port, target uint16) *ggsfakelink.Link {
	l := ggsfakelink.New(b.addr(target))
	n, err := (&net.ListenConfig{}).Listen(b.ctx, "tcp", b.addr(port).String())
	b.c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(b.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Serve(ctx, n)
	}()
	b.c.Cleanup(func() {
		cancel()
		<-done
	})
	return l
}

// A reply is the answer that a caller received.
type reply struct {
	status int
	header http.Header
	text   string
}

// A call is a request in progress; model and tokens determine the expected answer.
type call struct {
	model  string
	tokens int
	done   chan reply
}

// startChat sends a streamed chat request in the background.
func (b *testDeployment) startChat(g *node, model string, tokens int) *call {
	return b.startChatAt(g, "asistente", model, tokens)
}

func (b *testDeployment) startChatAt(g *node, service, model string, tokens int) *call {
	k := &call{model: model, tokens: tokens, done: make(chan reply, 1)}
	go func() {
		var r reply
		r.status, r.header, r.text = b.post(g, chatPath, chatOf(model, tokens), "X-Service", service)
		k.done <- r
	}()
	return k
}

// startRelease sends a non-idempotent call, a deposit release, in the background.
func (b *testDeployment) startRelease(g *node, key string, headers ...string) *call {
	k := &call{done: make(chan reply, 1)}
	go func() {
		var r reply
		r.status, r.header, r.text = b.post(g, releasePath, `{"deposit":1}`, append(headers, "Idempotency-Key", key)...)
		k.done <- r
	}()
	return k
}

func (b *testDeployment) await(k *call) reply {
	b.c.Helper()
	ctx, cancel := context.WithTimeout(b.ctx, testDeadline)
	defer cancel()
	select {
	case r := <-k.done:
		return r
	case <-ctx.Done():
		b.c.Fatalf("timed out waiting for an answer")
		return reply{}
	}
}

// requireComplete waits for a call and checks that its answer is complete.
func (b *testDeployment) requireComplete(k *call) {
	b.c.Helper()
	r := b.await(k)
	b.c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.text))
	checkComplete(b.c, r.header, r.text, k.model, k.tokens)
}

// outcomeOf returns the outcome that a caller got: done for a complete answer, otherwise that of
// the error event or the refusal. The test fails if the answer has none of these.
func outcomeOf(c *qt.C, k *call, r reply) string {
	c.Helper()
	if r.status == http.StatusOK && (k.model == "" || strings.HasSuffix(r.text, "data: [DONE]\n\n")) {
		if k.model != "" {
			checkComplete(c, r.header, r.text, k.model, k.tokens)
		}
		return "done"
	}
	text := r.text
	if r.status == http.StatusOK {
		const event = "event: error\ndata: "
		at := strings.Index(text, event)
		c.Assert(at > 0, qt.IsTrue, qt.Commentf("truncated answer without an error event: %s", text))
		text = text[at+len(event):]
	}
	return failureOf(c, text).Error.Outcome
}

// waitStarted waits until an engine has started a number of requests in total.
func (b *testDeployment) waitStarted(e *ggsfakeengine.Engine, started uint64) {
	b.c.Helper()
	b.eventually("the requests run", func() bool { return e.Stats().Started >= started })
}
