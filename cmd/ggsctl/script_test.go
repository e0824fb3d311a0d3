package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakeplatform"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggsedge"
	"greengageslip/io/ggsplatform"
	"greengageslip/io/ggsstate"
)

// sessionDeadline bounds every wait in a session.
const sessionDeadline = 20 * time.Second

var changeID = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`) //nolint:gochecknoglobals // a constant

var shownKey = regexp.MustCompile(`(?m)^key: (\S+)$`) //nolint:gochecknoglobals // a constant

var retryMillis = regexp.MustCompile(`"retryAfterMillis":[0-9]+`) //nolint:gochecknoglobals // a constant

var retryAfter = regexp.MustCompile(`retry after [0-9.hmsµn]+`) //nolint:gochecknoglobals // a constant

var requestID = regexp.MustCompile(`\b[0-9a-f]{32}\b`) //nolint:gochecknoglobals // a constant

var update = flag.Bool("update", false, "rewrite the golden sessions") //nolint:gochecknoglobals // a flag of the test

type sessionKey struct{}

// A session is the state of one script: a fake platform, entry processes that only
// follow the document, and the transcript of the operator's terminal.
type session struct {
	platform   *ggsfakeplatform.Platform
	server     *httptest.Server
	transcript bytes.Buffer
	labels     map[string]string
	addrs      map[string]netip.AddrPort
	deployed   *deployment
	pending    map[string]chan string
	// outageNext makes an outage follow the next lost answer.
	outageNext atomic.Bool
}

// Guards against unintended changes of commands, output and exit codes. Each script is an operator's
// session at a terminal, compared with a golden transcript in which labels replace ids and ports.
func TestSessions(t *testing.T) {
	t.Parallel()
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/scripts",
		UpdateScripts: *update,
		Setup:         setup,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"ggsctl":  ctl,
			"begin":   begin,
			"cut":     truncateStreams,
			"deploy":  startDeployment,
			"finish":  finish,
			"post":    post,
			"running": awaitRunning,
			"drain":   stopProcess,
			"entry":   startEntry,
			"edge":    startEdge,
			"fault":   setFault,
			"leave":   leave,
			"inforce": awaitInForce,
			"session": showSession,
		},
	})
}

func setup(e *testscript.Env) error {
	s := &session{labels: map[string]string{}, addrs: map[string]netip.AddrPort{}, pending: map[string]chan string{}}
	s.platform = ggsfakeplatform.New(ggsfakeplatform.Options{Now: time.Now, MaxValueBytes: 1 << 20}) //nolint:forbidigo // a fake's clock
	s.platform.SetVMs([]ggscore.VM{
		{ID: "cr-1", Role: ggscore.RoleEntry, Region: "central", Domain: "cr-central-a", Addr: anyAddr()},
		{ID: "cr-2", Role: ggscore.RoleEntry, Region: "pacific", Domain: "cr-pacific-a", Addr: anyAddr()},
	})
	s.server = httptest.NewServer(s.outageAfterLoss(s.platform.Handler()))
	e.Defer(s.server.Close)
	s.name("PLATFORM", netip.MustParseAddrPort(s.server.Listener.Addr().String()))
	e.Values[sessionKey{}] = s
	return nil
}

// anyAddr is the address of VMs that are never called.
func anyAddr() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:1") }

// outageAfterLoss starts an outage after a lost answer if outageNext is set.
func (s *session) outageAfterLoss(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if s.outageNext.CompareAndSwap(true, false) {
				s.platform.SetFaults(ggsfakeplatform.Faults{Outage: true})
			}
			panic(p)
		}()
		h.ServeHTTP(w, r)
	})
}

// name sets the label that replaces an address in the transcript, and that command
// lines use for the address.
func (s *session) name(label string, a netip.AddrPort) {
	s.addrs[label] = a
	s.labels[a.String()] = label
}

// stable replaces ids and addresses with labels, which are the same in each run.
func (s *session) stable(text string) string {
	for _, m := range shownKey.FindAllStringSubmatch(text, -1) {
		s.nameAll(m[1:], "KEY-")
	}
	s.nameAll(changeID.FindAllString(text, -1), "CHANGE-")
	s.nameAll(requestID.FindAllString(text, -1), "REQUEST-")
	for from, to := range s.labels {
		text = strings.ReplaceAll(text, from, to)
	}
	return text
}

// nameAll assigns numbered labels to ids in the order of their appearance.
func (s *session) nameAll(ids []string, prefix string) {
	for _, id := range ids {
		if s.labels[id] == "" {
			s.labels[id] = prefix + strconv.Itoa(s.countOf(prefix)+1)
		}
	}
}

func (s *session) countOf(prefix string) int {
	n := 0
	for _, w := range s.labels {
		if strings.HasPrefix(w, prefix) {
			n++
		}
	}
	return n
}

// expand returns the id or address of a label, and other arguments unchanged.
func (s *session) expand(arg string) string {
	for from, to := range s.labels {
		if arg == to {
			return from
		}
	}
	return arg
}

func sessionOf(ts *testscript.TestScript) *session {
	s, _ := ts.Value(sessionKey{}).(*session)
	return s
}

// ctl runs ggsctl. An argument <FILE redirects its standard input, and >FILE its
// standard output.
func ctl(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	var in io.Reader = strings.NewReader("")
	var out, errs bytes.Buffer
	shown := strings.Join(quoted(args), " ")
	var to string
	var rest []string
	for _, a := range args {
		switch {
		case strings.HasPrefix(a, "<"):
			in = strings.NewReader(ts.ReadFile(a[1:]))
		case strings.HasPrefix(a, ">"):
			to = ts.MkAbs(a[1:])
		case strings.HasSuffix(a, ".toml") || strings.HasSuffix(a, ".log") || strings.HasSuffix(a, ".yaml"):
			rest = append(rest, absolute(ts, a))
		default:
			rest = append(rest, s.expand(a))
		}
	}
	all := append([]string{"--platform", s.addrs["PLATFORM"].String()}, rest...)
	code := run(context.Background(), all, streams{in: in, out: &out, err: &errs})
	if to != "" {
		ts.Check(os.WriteFile(to, out.Bytes(), 0o600))
		out.Reset()
	}
	text := strings.ReplaceAll(out.String()+errs.String(), ts.MkAbs(".")+string(filepath.Separator), "")
	fmt.Fprintf(&s.transcript, "$ ggsctl %s\n%s[exit %d]\n", s.stable(shown), s.stable(text), code)
}

// absolute makes the path of FILE or SECTION=FILE absolute.
func absolute(ts *testscript.TestScript, arg string) string {
	if n, f, found := strings.Cut(arg, "="); found {
		return n + "=" + ts.MkAbs(f)
	}
	return ts.MkAbs(arg)
}

func quoted(args []string) []string {
	l := make([]string, 0, len(args))
	for _, a := range args {
		if strings.ContainsAny(a, " \"[]@") {
			a = "'" + a + "'"
		}
		l = append(l, a)
	}
	return l
}

// noMembers is a list of members without entries.
type noMembers struct{}

func (noMembers) Members() []ggsconfig.Member { return nil }

// startEntry starts an entry process that follows the document and serves its state:
// entry LABEL VM.
func startEntry(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	p := ggsplatform.NewClient(s.addrs["PLATFORM"])
	f := ggsconfig.NewFollower(ggsconfig.FollowerOptions{
		Self: ggscore.VMID(args[1]), Domain: ggscore.Domain(args[1]), Store: p, Members: noMembers{},
		PollInterval: 10 * time.Millisecond,
	})
	t := ggsstate.New("ggsgateway", ggscore.VMID(args[1]), func() time.Time { return time.Unix(0, 0) })
	t.AddPart("document", func() any { return f.State() })
	h := httptest.NewServer(t.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	ts.Defer(func() {
		cancel()
		ts.Check(<-done)
		h.Close()
		p.Close()
	})
	s.name(args[0], netip.MustParseAddrPort(h.Listener.Addr().String()))
}

// startEdge serves the state of a VM on the users' platform from a file:
// edge LABEL VM FILE.
func startEdge(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	var e ggsedge.State
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[2])), &e))
	t := ggsstate.New("ggsedge", ggscore.VMID(args[1]), func() time.Time { return time.Unix(0, 0) })
	t.AddPart("edge", func() any { return e })
	h := httptest.NewServer(t.Handler())
	ts.Defer(h.Close)
	s.name(args[0], netip.MustParseAddrPort(h.Listener.Addr().String()))
}

// setFault sets the platform's fault: none, lose, loseThenOutage, delay or outage.
// The faults lose and delay apply to writes of the document's head.
func setFault(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	f := ggsfakeplatform.Faults{LosePrefix: string(ggsconfig.HeadKey)}
	switch args[0] {
	case "none":
	case "lose":
		f.LoseWriteAnswers = 1
	case "loseThenOutage":
		f.LoseWriteAnswers = 1
		s.outageNext.Store(true)
	case "delay":
		f.DelayWrites = 1
	case "outage":
		f.Outage = true
	default:
		ts.Fatalf("unknown fault %s", args[0])
	}
	s.platform.SetFaults(f)
}

// leave marks a VM and an endpoint as leaving in the platform's list: leave VM.
func leave(ts *testscript.TestScript, _ bool, args []string) {
	sessionOf(ts).platform.SetVMs([]ggscore.VM{
		{ID: "cr-1", Role: ggscore.RoleEntry, Region: "central", Domain: "cr-central-a", Addr: anyAddr()},
		{ID: ggscore.VMID(args[0]), Role: ggscore.RoleEntry, Region: "pacific", Domain: "cr-pacific-a", State: ggscore.VMLeaving, Addr: anyAddr()},
		{ID: "runner-7", Role: ggscore.RoleEndpoint, Domain: "cr-central-a", Service: "asistente", State: ggscore.VMLeaving, Addr: anyAddr()},
	})
}

// awaitInForce waits until an entry process has a revision: inforce LABEL N.
func awaitInForce(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), sessionDeadline)
	defer cancel()
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for {
		if p := stateOf(ctx, sessionOf(ts).addrs[args[0]]); p.err == nil && revision(p.revision) == args[1] {
			return
		}
		select {
		case <-ctx.Done():
			ts.Fatalf("revision %s is not in force at %s", args[1], args[0])
		case <-t.C:
		}
	}
}

// showSession prints the transcript for the comparison with the golden file.
func showSession(ts *testscript.TestScript, _ bool, _ []string) {
	_, err := sessionOf(ts).transcript.WriteTo(ts.Stdout())
	ts.Check(err)
}
