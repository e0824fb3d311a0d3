package ggsnode_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
	"greengageslip/io/ggsedge"
	ggsdialect "greengageslip/platform"
)

// The crowds and bounds of the tests of clients that don't behave. The processes run with lowered limits.
const (
	// crowdMemory and crowdFiles are the limits of each process, and crowdReserve are the descriptors that a crowd must leave free.
	crowdMemory  = 96 << 20
	crowdFiles   = 600
	crowdReserve = 200
	// crowdClients send bytes, and silentClients none.
	crowdClients  = 300
	silentClients = 900
	// returningClients is the number of clients of each form that come back.
	returningClients = 40
	// crowdBody is the largest legal body.
	crowdBody = 1 << 20
	// endlessBytes is what a client sends "without end" at most.
	endlessBytes = 4 << 20
	// crowdSendTime bounds a client's sending, and crowdDeadline the wait for an ordinary answer.
	crowdSendTime = 10 * time.Second
	crowdDeadline = 30 * time.Second
)

// Guards against clients that end or hang a VM's process by what they send, or don't read, at any of its listeners.
//
//nolint:paralleltest // a crowd is measured apart from other load
func TestCrowdsAtAnEdge(t *testing.T) {
	type listener struct {
		addr func(*crowdEdge) netip.AddrPort
		// answers sends an ordinary request to the listener.
		answers func(*crowdEdge) error
		forms   map[string]crowdForm
	}
	get := func(addr func(*crowdEdge) netip.AddrPort, path string, status int) func(*crowdEdge) error {
		return func(e *crowdEdge) error {
			return plainRequest(http.MethodGet, "http://"+addr(e).String()+path, "", "", status)
		}
	}
	callers := func(e *crowdEdge) netip.AddrPort { return e.settings.Callers }
	ready := func(e *crowdEdge) netip.AddrPort { return e.settings.Ready }
	tunnels := func(e *crowdEdge) netip.AddrPort {
		return netip.AddrPortFrom(e.settings.Addr, e.settings.FirstPort)
	}
	metrics := func(e *crowdEdge) netip.AddrPort { return e.metrics }
	control := func(e *crowdEdge) netip.AddrPort { return e.settings.Control }
	for name, l := range map[string]listener{
		"callers, heads":  {callers, (*crowdEdge).ordinary, headForms("/look/1")},
		"callers, bodies": {callers, (*crowdEdge).ordinary, bodyForms(edgeHead())},
		"readiness":       {ready, get(ready, ggsdialect.PathReady, http.StatusOK), headForms("/state")},
		"metrics":         {metrics, get(metrics, "/metrics", http.StatusOK), headForms("/metrics")},
		"tunnels":         {tunnels, get(tunnels, "/", http.StatusMethodNotAllowed), headForms("/")},
		"control":         {control, func(e *crowdEdge) error { return plainCall(control(e)) }, rpcForms("Placement.Entries", ggsedge.EntriesArgs{})},
	} {
		for form, f := range l.forms {
			t.Run(name+"/"+form, func(t *testing.T) {
				c := qt.New(t)
				e := startCrowdEdge(c, loweredLimits())
				f.gather(c, l.addr(e))
				e.check(func() error {
					if err := l.answers(e); err != nil {
						return err
					}
					return e.ordinary()
				})
			})
		}
	}
}

// Guards against clients that come back as soon as they are closed, at several listeners at once, and so keep others out.
//
//nolint:paralleltest // a crowd is measured apart from other load
func TestCrowdsThatComeBack(t *testing.T) {
	c := qt.New(t)
	e := startCrowdEdge(c, loweredLimits())
	heads, bodies, calls := headForms("/state"), bodyForms(edgeHead()), rpcForms("Placement.Entries", ggsedge.EntriesArgs{})
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	for _, k := range []struct {
		addr netip.AddrPort
		form crowdForm
	}{
		{e.settings.Callers, heads["clients that say nothing"]},
		{e.settings.Callers, heads["heads of many short lines that stop short"]},
		{e.settings.Callers, bodies["whole bodies that stop short"]},
		{e.settings.Callers, bodies["heads of many short lines beside bodies that wait"]},
		{e.settings.Ready, heads["clients that say nothing"]},
		{e.settings.Ready, heads["heads without end"]},
		{e.settings.Control, calls["long messages that stop short"]},
		{e.settings.Control, calls["calls in a row whose answers aren't read"]},
	} {
		for range returningClients {
			all.Go(func() { k.form.comeBack(ctx, k.addr) })
		}
	}
	for range 3 {
		time.Sleep(time.Second)
		e.check(func() error {
			if err := plainRequest(http.MethodGet, "http://"+e.settings.Ready.String()+ggsdialect.PathReady, "", "", http.StatusOK); err != nil {
				return err
			}
			return e.ordinary()
		})
	}
}

// Guards against peers that take all tunnels and send nothing through them.
//
//nolint:paralleltest // a crowd is measured apart from other load
func TestCrowdOfTunnels(t *testing.T) {
	c := qt.New(t)
	e := startCrowdEdge(c, loweredLimits())
	tunnels := netip.AddrPortFrom(e.settings.Addr, e.settings.FirstPort)
	connect := "CONNECT " + e.site.Addr("ledger-0").String() + " HTTP/1.1\r\nHost: " + e.site.Addr("ledger-0").String() + "\r\n\r\n"
	crowdForm{crowdClients, text(connect)}.gather(c, tunnels)
	e.check(func() error {
		if err := openTunnel(tunnels, connect); err != nil {
			return err
		}
		return e.ordinary()
	})
}

// openTunnel opens a tunnel with a request and closes it.
func openTunnel(addr netip.AddrPort, connect string) error {
	n, err := net.DialTimeout("tcp", addr.String(), time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = n.Close() }()
	_ = n.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(n, connect); err != nil {
		return err
	}
	r, err := http.ReadResponse(bufio.NewReader(n), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	_ = r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", r.StatusCode) //nolint:forbidigo // as above
	}
	return nil
}

// Guards against limits that refuse single clients inside the limits of a deployment, in calm.
//
//nolint:paralleltest // as above
func TestSingleClientsInsideTheLimitsAreServed(t *testing.T) {
	c := qt.New(t)
	e := startCrowdEdge(c, loweredLimits())
	const (
		host   = "Host: " + ggsfakesite.Host + "\r\nRequest-Id: single\r\nConnection: close\r\n"
		begin  = "POST /pay/1 HTTP/1.1\r\n" + host
		length = begin + "Content-Length: 1048576\r\n"
	)
	whole := strings.Repeat("a", crowdBody)
	for name, request := range map[string]string{
		"a head of many short lines":  begin + shortLines(14<<10) + "Content-Length: 2\r\n\r\n{}",
		"a head of one long line":     begin + "A: " + strings.Repeat("a", 15<<10) + "\r\nContent-Length: 2\r\n\r\n{}",
		"the largest body":            length + "\r\n" + whole,
		"the largest body, one chunk": begin + "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + whole + "\r\n0\r\n\r\n",
		"the largest body, chunks of 16 bytes": begin + "Transfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("10\r\naaaaaaaaaaaaaaaa\r\n", crowdBody/16) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n, err := net.Dial("tcp", e.settings.Callers.String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = n.Close() }()
			_ = n.SetDeadline(time.Now().Add(crowdDeadline))
			_, err = io.WriteString(n, request)
			c.Assert(err, qt.IsNil)
			r, err := http.ReadResponse(bufio.NewReader(n), nil)
			c.Assert(err, qt.IsNil)
			_ = r.Body.Close()
			c.Assert(r.StatusCode, qt.Equals, http.StatusOK)
		})
	}
}

// Guards against limits that close idle connections of clients that return within four fifths of the deployment's idle limit.
//
//nolint:paralleltest // as above
func TestIdleClientsThatReturnAreServed(t *testing.T) {
	const (
		clients = 100
		// idle is four fifths of the site's limit.
		idle = 12 * time.Second
	)
	c := qt.New(t)
	e := startCrowdEdge(c, loweredLimits())
	request := "POST /pay/1 HTTP/1.1\r\nHost: " + ggsfakesite.Host + "\r\nRequest-Id: idle-%d-%d\r\nContent-Length: 2\r\n\r\n{}"
	var all sync.WaitGroup
	for k := range clients {
		all.Go(func() {
			n, err := net.Dial("tcp", e.settings.Callers.String())
			c.Check(err, qt.IsNil)
			if err != nil {
				return
			}
			defer func() { _ = n.Close() }()
			r := bufio.NewReader(n)
			for turn := range 2 {
				time.Sleep(time.Duration(turn) * idle)
				_, err := fmt.Fprintf(n, request, k, turn)
				c.Check(err, qt.IsNil)
				resp, err := http.ReadResponse(r, nil)
				c.Check(err, qt.IsNil)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				// The slots of the endpoints may be taken by the others.
				c.Check(resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("%d", resp.StatusCode))
			}
		})
	}
	all.Wait()
}

// Guards against clients that end or hang a gateway or a dispatcher by what they send, or don't read, at any of their listeners.
//
//nolint:paralleltest // a crowd is measured apart from other load
func TestCrowdsAtAGatewayAndADispatcher(t *testing.T) {
	type listener struct {
		port    func(*crowdDeployment) uint16
		answers func(*crowdDeployment) error
		forms   map[string]crowdForm
	}
	callers := func(d *crowdDeployment) uint16 { return d.gatewayVM.port }
	gatewayState := func(d *crowdDeployment) uint16 { return d.gatewayVM.state }
	dispatcherState := func(d *crowdDeployment) uint16 { return d.dispatcherVM.state }
	calls := func(d *crowdDeployment) uint16 { return d.dispatcherVM.port }
	get := func(port func(*crowdDeployment) uint16, path string) func(*crowdDeployment) error {
		return func(d *crowdDeployment) error {
			return plainRequest(http.MethodGet, "http://"+d.addr(port(d)).String()+path, "", "", http.StatusOK)
		}
	}
	bodies := bodyForms(gatewayHead)
	for name, members := range map[string]string{
		"sound requests with large bodies":           `"messages":["` + strings.Repeat("a", crowdBody-100) + `"]`,
		"sound requests with bodies of many members": strings.TrimSuffix(members(crowdBody-100), ","),
	} {
		body := `{"model":"deposits",` + members + `}`
		bodies[name] = crowdForm{crowdClients, text(gatewayHead + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)}
	}
	for name, l := range map[string]listener{
		"gateway, heads":    {callers, (*crowdDeployment).ordinary, headForms("/healthz")},
		"gateway, bodies":   {callers, (*crowdDeployment).ordinary, bodies},
		"gateway, state":    {gatewayState, get(gatewayState, "/healthz"), headForms("/state")},
		"dispatcher, calls": {calls, func(d *crowdDeployment) error { return plainCall(d.addr(d.dispatcherVM.port)) }, dispatchForms()},
		"dispatcher, state": {dispatcherState, get(dispatcherState, "/healthz"), headForms("/state")},
	} {
		for form, f := range l.forms {
			t.Run(name+"/"+form, func(t *testing.T) {
				d := startCrowdDeployment(t, loweredLimits())
				f.gather(d.c, d.addr(l.port(d)))
				for _, p := range []*crowdProcess{d.gateway, d.dispatcher} {
					p.check(func() error {
						if err := l.answers(d); err != nil {
							return err
						}
						return d.ordinary()
					})
				}
			})
		}
	}
}
