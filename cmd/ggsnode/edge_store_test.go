package ggsnode

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
)

// Guards against requests that run on an old version of an adapter after an operator has set a
// new one.
func TestNewVersionOfAnAdapterIsServed(t *testing.T) {
	t.Parallel()
	s := startSite(t, 1)
	s.eventually("the adapter is served", func() bool {
		return s.call(0, http.MethodPost, "/chat/x", "m/a7", "Hola").status == http.StatusOK
	})
	for _, e := range s.site.Endpoints {
		e.SetVersion("a7", 2)
	}
	s.site.Store.Put("op/version/m.a7", []byte(`{"model":"m","adapter":"a7","version":2}`))
	s.eventually("version 2 is ordered", func() bool {
		s.call(0, http.MethodPost, "/chat/x", "m/a7", "Hola")
		for _, e := range s.site.Endpoints {
			for _, o := range e.Orders() {
				if o.Adapter == "a7" && o.Version == 2 {
					return true
				}
			}
		}
		return false
	})
	s.eventually("version 2 is served", func() bool {
		return s.call(0, http.MethodPost, "/chat/x", "m/a7", "Hola").status == http.StatusOK
	})
}

// Guards against a configuration that takes effect late, and against an older or unreadable one
// that replaces it.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	t.Parallel()
	s := startSite(t, 1)
	served := func(path string) bool { return s.call(0, http.MethodPost, path, "", "Hola").status == http.StatusOK }
	s.eventually("the first configuration is in force", func() bool { return served("/chat/x") })
	s.site.Store.Put("op/config", ggsfakesite.Config(5, "/talk/"))
	s.eventually("the second configuration is in force", func() bool { return served("/talk/x") })
	for name, value := range map[string][]byte{"older": ggsfakesite.Config(3, "/chat/"), "unreadable": []byte("{")} {
		s.site.Store.Put("op/config", value)
		s.site.Store.Compact()
		s.site.Store.Put("op/version/m.a1", []byte(`{"model":"m","adapter":"a1","version":1}`))
		s.c.Check(served("/chat/x"), qt.IsFalse, qt.Commentf(name))
		s.c.Check(served("/talk/x"), qt.IsTrue, qt.Commentf(name))
	}
}

// Guards against requests to a leaving endpoint. One VM reads the list of endpoints for all and
// sends changes to the others: when the VMs read it themselves at long, synchronized intervals,
// a leaving endpoint got requests for 4 s more.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	t.Parallel()
	s := startSite(t, 3)
	before := s.site.Store.Calls("/greengageslip/kv-range")
	s.site.Drain("ledger-0")
	time.Sleep(2500 * time.Millisecond)
	ran := len(s.site.Endpoints["ledger-0"].Runs())
	for n := range s.edges {
		for range 20 {
			s.c.Assert(s.call(n, http.MethodPost, "/pay/1", "", "{}").status, qt.Equals, http.StatusOK)
		}
	}
	s.c.Assert(s.site.Endpoints["ledger-0"].Runs(), qt.HasLen, ran)
	// Each of three VMs reads its own records once per second; the list of endpoints is read
	// once per second in total.
	calls := s.site.Store.Calls("/greengageslip/kv-range") - before
	s.c.Assert(calls < 20, qt.IsTrue, qt.Commentf("%d reads", calls))
}

// Guards against resident adapters that aren't served while the store is unavailable, and
// against a change made meanwhile that isn't applied once the store is reachable again.
func TestStoreUnavailable(t *testing.T) {
	t.Parallel()
	s := startSite(t, 1)
	served := func(path string) bool {
		return s.call(0, http.MethodPost, path, "m/a7", "Hola").status == http.StatusOK
	}
	s.eventually("the adapter is served", func() bool { return served("/chat/x") })
	s.site.Store.SetUnavailable(true)
	for range 5 {
		s.c.Assert(served("/chat/x"), qt.IsTrue)
	}
	s.site.Store.Put("op/config", ggsfakesite.Config(9, "/talk/"))
	s.site.Store.Compact()
	s.site.Store.SetUnavailable(false)
	s.eventually("the change is in force", func() bool { return served("/talk/x") })
}

// Guards against a VM that reports ready or answers with anything but 503 before it has a
// configuration, because the store is unavailable at its start.
func TestNoConfigurationYet(t *testing.T) {
	t.Parallel()
	s := startSite(t, 0)
	s.site.Store.SetUnavailable(true)
	s.startEdge(t, 0)
	var r reply
	s.eventually("the edge answers", func() bool {
		r = s.call(0, http.MethodPost, "/pay/1", "", "{}")
		return r.status != 0
	})
	s.c.Assert(r.status, qt.Equals, http.StatusServiceUnavailable)
	s.c.Assert(s.ready(0), qt.Equals, http.StatusServiceUnavailable)
}

// Guards against a rolling restart during a store outage that leaves all VMs without a
// configuration. A VM that starts reads the state of a peer instead.
func TestStartWhileTheStoreIsUnavailable(t *testing.T) {
	t.Parallel()
	s := startSite(t, 1)
	s.c.Assert(s.call(0, http.MethodPost, "/chat/x", "m/a7", "Hola").status, qt.Equals, http.StatusOK)
	s.site.Store.SetUnavailable(true)
	s.startEdge(t, 1)
	s.eventually("the second edge is ready", func() bool {
		return s.ready(1) == http.StatusOK
	})
	r := s.call(1, http.MethodPost, "/pay/1", "", "{}")
	s.c.Assert(r.status, qt.Equals, http.StatusOK)
	s.eventually("the second edge serves the adapter", func() bool {
		return s.call(1, http.MethodPost, "/chat/x", "m/a7", "Hola").status == http.StatusOK
	})
}

// Guards against a runner that gets no orders after a VM restarts during a store outage. The VM
// learns of its ownership from a peer; the runner's worker was bound to the context of that call
// and ended with it after 0.7 s.
func TestOrdersContinueAfterAStartWithoutTheStore(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2)
	s.site.Store.SetUnavailable(true)
	s.edges[0].cancel()
	s.edges[0].done <- <-s.edges[0].done
	again := s.edges[0]
	s.edges = s.edges[1:]
	s.startEdge(t, 0)
	s.eventually("the edge is ready again", func() bool { return s.ready(1) == http.StatusOK })
	s.c.Assert(s.edges[1].settings.Callers, qt.Equals, again.settings.Callers)
	time.Sleep(time.Second)
	s.site.Store.SetUnavailable(false)
	n := 0
	s.eventually("its runner gets orders", func() bool {
		n++
		s.call(0, http.MethodPost, "/chat/x", fmt.Sprintf("m/a%d", n), "Hola")
		return len(s.site.Endpoints["runner-00"].Orders()) > 0
	})
}

// Guards against a planned stop that cuts off a relayed stream or leaves the process reporting
// ready.
func TestPlannedStopCompletesStreams(t *testing.T) {
	t.Parallel()
	s := startSite(t, 1)
	s.setFault("runner", always(ggsfakesite.FaultNone))
	done := make(chan reply, 1)
	go func() { done <- s.call(0, http.MethodPost, "/chat/x", "", "Hola") }()
	s.eventually("the request runs", func() bool { return len(s.site.Runs()) > 0 })
	s.edges[0].cancel()
	r := <-done
	s.c.Assert(r.status, qt.Equals, http.StatusOK)
	s.c.Assert(r.complete, qt.IsTrue)
	s.eventually("the edge isn't ready", func() bool {
		return s.ready(0) != http.StatusOK
	})
}

// Guards against two VMs that send orders to one runner: a release that takes effect late, after
// the VM's next process has sent orders again, lets another VM claim the runner. The release is
// therefore conditional on the last heartbeat that the VM has written.
func TestReleaseIsConditionalOnTheLastHeartbeat(t *testing.T) {
	t.Parallel()
	s := startSite(t, 1)
	s.edges[0].cancel()
	s.eventually("the runners are released", func() bool {
		return strings.Contains(string(s.site.Store.Get("greengageslip/orderer/runner-00")), `"released":true`)
	})
	s.c.Assert(s.site.Store.LastConditions(), qt.Contains, "greengageslip/vm/edge-0@"+s.edges[0].settings.Addr.String())
}

// Guards against request smuggling: bytes in a body, or behind a request with ambiguous length,
// that an endpoint parses as a request of their own.
func TestSmuggledRequestsReachNoEndpoint(t *testing.T) {
	t.Parallel()
	inner := "POST /pay/2 HTTP/1.1\r\nHost: " + ggsfakesite.Host + "\r\nRequest-Id: smuggled\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"length and chunks": "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner),
		"two lengths":       fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner),
		"bad chunk size":    "Transfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n" + inner,
		"folded header":     "X-A: 1\r\n Content-Length: 0\r\nContent-Length: " + strconv.Itoa(len(inner)) + "\r\n\r\n" + inner,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 1)
			n, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.edges[0].settings.Callers.String())
			s.c.Assert(err, qt.IsNil)
			defer func() { _ = n.Close() }()
			_, err = io.WriteString(n, "POST /pay/1 HTTP/1.1\r\nHost: "+ggsfakesite.Host+"\r\nRequest-Id: outer\r\nDeadline-Ms: 1000\r\n"+text)
			s.c.Assert(err, qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(n), nil)
			s.c.Assert(err, qt.IsNil)
			_ = resp.Body.Close()
			s.c.Assert(s.site.Runs()["smuggled"], qt.Equals, 0)
		})
	}
}
