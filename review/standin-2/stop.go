package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// plannedStop stops one process while clients go on using their connections. Each client reads a long stream when SIGTERM comes, and
// sends its next request, for a short kind of stream, on the same connection as soon as that has ended. The stream that it
// gets is longer than those before.
func plannedStop(w *world) (bool, error) {
	const event = 40 * time.Millisecond
	routes := []string{
		route("summary", "/summary/", "streaming", "summaries", 15*time.Second, time.Second),
		route("brief", "/brief/", "streaming", "briefs", 8*time.Second, 800*time.Millisecond),
	}
	w.site.store.Put("op/config", config(7, strings.Join(routes, ","), engineService("summaries")+","+engineService("briefs")))
	for k := range 3 {
		for j, s := range []string{"summaries", "briefs"} {
			w.site.add(&runner{
				id: fmt.Sprintf("i-%s-%d", s, k), service: s, addr: w.net.addr(20+2*k+j, 8080), zone: w.net.zone(k), model: true, eventTime: event,
			})
		}
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	e := w.edges[0]
	const clients = 8
	cs := make([]*client, clients)
	results := make(chan *result, 200)
	for k := range cs {
		cs[k] = &client{addr: e.front()}
	}
	// Usual briefs have 15 to 35 events, 0.6 to 1.4 s. The longest on the sheets have four times the mean.
	each(cs, func(k int, c *client) {
		for j := range 3 {
			results <- c.do("POST", "/brief/x", fmt.Sprintf("brief-%d-%d", k, j), 8*time.Second, streamHeaders(15+5*((k+j)%5)), "{}")
		}
	})
	for range 3 * clients {
		x := <-results
		w.log.line("before: %s", x)
		if !x.complete || x.status != 200 {
			return false, fmt.Errorf("before the stop: %s", x)
		}
	}
	var stop time.Time
	go func() {
		time.Sleep(500 * time.Millisecond)
		stop = time.Now()
		if w.trouble {
			w.log.line("SIGTERM to %s", e.name)
			_ = e.signal(syscall.SIGTERM)
			// SIGKILL follows after graceS.
			select {
			case <-e.exited:
				w.log.line("%s has ended", e.name)
			case <-time.After(8 * time.Second):
				w.log.line("SIGKILL to %s", e.name)
				_ = e.signal(syscall.SIGKILL)
			}
		}
	}()
	each(cs, func(k int, c *client) {
		x := c.do("POST", "/summary/x", fmt.Sprintf("summary-%d", k), 15*time.Second, streamHeaders(95+k), "{}")
		w.log.line("client %d: %s", k, x)
		if c.c == nil {
			return
		}
		y := c.do("POST", "/brief/x", fmt.Sprintf("last-%d", k), 8*time.Second, streamHeaders(100), "{}")
		w.log.line("client %d: sent %.3f s after SIGTERM: %s", k, y.sent.Sub(stop).Seconds(), y)
		results <- y
	})
	close(results)
	cut, sent := 0, 0
	for y := range results {
		sent++
		// Passed on to a runner, sent later than 3 s after the signal, and the connection ended without the whole answer.
		if y.sent.Sub(stop) > 3*time.Second && !y.complete && w.ran(y.id) {
			cut++
			w.log.line("cut: %s", y)
		}
	}
	w.log.line("%d requests on kept connections, %d cut", sent, cut)
	if sent == 0 {
		return false, fmt.Errorf("no request on a kept connection")
	}
	return cut > 0, nil
}

// each runs f for each client at once.
func each(cs []*client, f func(k int, c *client)) {
	var g sync.WaitGroup
	for k, c := range cs {
		g.Go(func() { f(k, c) })
	}
	g.Wait()
}

// ran reports whether a runner ran a request.
func (w *world) ran(id string) bool {
	for _, n := range w.site.runners {
		n.mu.Lock()
		for _, x := range n.runs {
			if x.id == id {
				n.mu.Unlock()
				return true
			}
		}
		n.mu.Unlock()
	}
	return false
}
