package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	host = "ficu95.example"
	// firstPath and laterPath are the prefixes of the first route and of one that is added later.
	firstPath = "/pufi791/"
	laterPath = "/lohu930/"
	// deadline is how long a client waits, and gap the pause after which it abandons a stream.
	deadline = 5 * time.Second
	gap      = 4800 * time.Millisecond
)

// A try is one attempt of a client: one request.
type try struct {
	sent   time.Time
	edge   string
	path   string
	status int // 0: no answer, -1: an answer that was cut
}

// A crowd is the clients, with the platform's entry before them.
type crowd struct {
	s *site

	mu    sync.Mutex
	n     int
	tries []try
	// misses counts the questions for readiness in a row that an edge didn't answer with 200.
	misses map[*edge]int
}

func newCrowd(s *site) *crowd { return &crowd{s: s, misses: map[*edge]int{}} }

// watch asks each edge once a second whether it is ready.
func (c *crowd) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range c.s.edges {
			go func() {
				ok := e.ready()
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.misses[e]++; ok {
					c.misses[e] = 0
				}
			}()
		}
		sleep(ctx, time.Second)
	}
}

// enter returns the edge for a new connection from a zone: one in rotation, or any one if fewer than half are.
func (c *crowd) enter(zone string, not *edge) *edge {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all, in []*edge
	for _, e := range c.s.edges {
		if e.zone != zone || e == not {
			continue
		}
		all = append(all, e)
		if c.misses[e] < 2 {
			in = append(in, e)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	if len(in) == 0 {
		return not
	}
	return in[rand.IntN(len(in))]
}

// ask sends one request on a new connection. It returns the status and the time after which to come back.
func (c *crowd) ask(e *edge, path, target string, left time.Duration) (status int, retryAfter time.Duration) {
	c.mu.Lock()
	c.n++
	id := fmt.Sprintf("%016x", 0x51ce000000000000+uint64(c.n))
	c.mu.Unlock()
	sent := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), min(left, gap))
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s2f", e.ip, frontPort, path), strings.NewReader("{}"))
	q.Host = host
	q.Header.Set("Request-Id", id)
	q.Header.Set("Model", target)
	q.Header.Set("Token-Count", "646,70")
	q.Header.Set("Prompt-Prefix", "5c1e07a2:155,"+id[8:]+":491")
	q.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	k := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := k.Do(q)
	if err == nil {
		status = a.StatusCode
		b, err := io.ReadAll(a.Body)
		if err != nil || status == http.StatusOK && strings.Count(string(b), "id: ") != events {
			status = -1
		}
		_ = a.Body.Close()
		if f, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil {
			retryAfter = time.Duration(f * float64(time.Second))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries = append(c.tries, try{sent: sent, edge: e.name, path: path, status: status})
	return status, retryAfter
}

// user sends a request, and once more after a promise that it has not run.
func (c *crowd) user(zone, path, target string) {
	until := time.Now().Add(deadline)
	e := c.enter(zone, nil)
	status, wait := c.ask(e, path, target, deadline)
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return
	}
	time.Sleep(min(wait, time.Until(until)/3))
	if left := time.Until(until); left > 0 {
		c.ask(c.enter(zone, e), path, target, left)
	}
}

// run sends the given number of users a second to the first route until the context ends, at most 10,000. Each asks
// for one of the adapters a1 to aN in turn.
func (c *crowd) run(ctx context.Context, perSecond, adapters int) {
	c.send(ctx, perSecond, firstPath, func(n int) string { return model + "/a" + strconv.Itoa(n%adapters+1) })
}

// send sends the given number of users a second to a route until the context ends, at most 10,000.
func (c *crowd) send(ctx context.Context, perSecond int, path string, target func(n int) string) {
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	for n := range 10000 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		go c.user(zones[rand.IntN(len(zones))], path, target(n))
	}
}

// served returns how many requests were sent to the first route in a time, how many of them were served, and both by
// edge.
func (c *crowd) served(from, to time.Time) (sent, ok int, byEdge string) {
	return c.servedOn(firstPath, from, to)
}

// servedOn is served for the route with a path.
func (c *crowd) servedOn(path string, from, to time.Time) (sent, ok int, byEdge string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all, good, by := map[string]int{}, map[string]int{}, map[int]int{}
	for _, t := range c.tries {
		if t.path != path || t.sent.Before(from) || !t.sent.Before(to) {
			continue
		}
		sent++
		all[t.edge]++
		by[t.status]++
		if t.status == http.StatusOK {
			ok++
			good[t.edge]++
		}
	}
	for _, e := range c.s.edges {
		byEdge += fmt.Sprintf(" %s=%d/%d", e.name, good[e.name], all[e.name])
	}
	return sent, ok, fmt.Sprintf("%v by edge:%s", by, byEdge)
}
