package main

import (
	"fmt"
	"sync"
	"time"
)

// secondModel asks for many adapters of the second of two models at once.
func secondModel(w *world) (bool, error) {
	small, big := model{"small", 30000}, model{"big", 65100}
	w.site.store.Put("op/config", config(7, route("draft", "/draft/", "streaming", "models", 5*time.Second, 800*time.Millisecond), engineService("models", small, big)))
	// The busy model is on many runners, the other one on one.
	for k, m := range []model{small, small, big} {
		n := &runner{id: fmt.Sprintf("i-models-%d", k), service: "models", addr: w.net.addr(20+k, 8080), zone: w.net.zone(k), model: true, eventTime: 25 * time.Millisecond}
		n.engine.model, n.engine.sizes = m, map[string]int{small.name: small.weightsMB, big.name: big.weightsMB}
		w.site.add(n)
	}
	n := w.site.runners[2]
	fits := (runnerMB - big.weightsMB) / adapterMB
	w.log.line("%s has memory for %d adapters beside %s, and %d places", n.id, fits, big.name, adapterSlots)
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	adapters := 10
	if w.trouble {
		adapters = 24
	}
	// Each adapter is asked for at once, in a stream of 0.5 s, and then again.
	for round := range 3 {
		w.log.line("round %d: streams of %d adapters at once", round, adapters)
		var g sync.WaitGroup
		for a := range adapters {
			g.Go(func() {
				c := &client{addr: w.edges[a%len(w.edges)].front()}
				defer c.drop()
				h := fmt.Sprintf("Model: %s/a%d\r\nToken-Count: 200,100\r\nPrompt-Prefix: 5c1e07a2:155,e4402b7d:45\r\n", big.name, a+1)
				x := c.do("POST", "/draft/x", fmt.Sprintf("draft-%d-%d", round, a), 5*time.Second, h, "{}")
				w.log.line("%s", x)
			})
		}
		g.Wait()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.crashed, nil
}

// crashTime is how long the runner of the rare model is down.
const crashTime = 4 * time.Second

// lostModel crashes the only runner of the second of two models. A route for that model was added before.
func lostModel(w *world) (bool, error) {
	small, big := model{"small", 30000}, model{"big", 65100}
	first := route("draft", "/draft/", "streaming", "models", 5*time.Second, 800*time.Millisecond)
	added := route("rare", "/rare/", "streaming", "models", 5*time.Second, 800*time.Millisecond)
	service := engineService("models", small, big)
	w.site.store.Put("op/config", config(7, first, service))
	for k := range 6 {
		n := &runner{id: fmt.Sprintf("i-models-%d", k), service: "models", addr: w.net.addr(20+k, 8080), zone: w.net.zone(k % 3), model: true, eventTime: 25 * time.Millisecond}
		n.engine.model, n.engine.sizes = small, map[string]int{small.name: small.weightsMB, big.name: big.weightsMB}
		if k == 5 {
			n.engine.model = big
		}
		w.site.add(n)
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	w.site.store.Put("op/config", config(9, first+","+added, service))
	time.Sleep(4 * time.Second)
	a, b := w.ask("before", small, big)
	if a < 30 || b < 30 {
		return false, fmt.Errorf("before: %d and %d of 40 served", a, b)
	}
	if w.trouble {
		n := w.site.runners[5]
		w.log.line("%s crashes, and starts again %s later under a new id", n.id, crashTime)
		n.mu.Lock()
		n.crash(crashTime, n.id+"-2")
		n.mu.Unlock()
		old := "servers/" + n.id
		time.AfterFunc(3*heartbeat, func() { w.site.store.Delete(old) })
		time.Sleep(crashTime)
	}
	time.Sleep(15 * time.Second)
	a, b = w.ask("after", small, big)
	// CONFIG: 20 requests or more on the added route, served less than a quarter as often as those on the first one.
	return 4*b < a, nil
}

// ask sends 40 requests for each of two models, by the first route and the added one, and returns how many were served.
func (w *world) ask(when string, first, added model) (a, b int) {
	one := func(path string, m model, k int) int {
		c := &client{addr: w.edges[k%len(w.edges)].front()}
		defer c.drop()
		h := fmt.Sprintf("Model: %s/a%d\r\nToken-Count: 200,20\r\nPrompt-Prefix: 5c1e07a2:155,e4402b7d:45\r\n", m.name, 1+k%5)
		x := c.do("POST", path, fmt.Sprintf("%s-%s-%d", when, m.name, k), 5*time.Second, h, "{}")
		w.log.line("%s", x)
		if x.status == 200 && x.complete {
			return 1
		}
		return 0
	}
	for k := range 40 {
		a += one("/draft/x", first, k)
		b += one("/rare/x", added, k)
	}
	w.log.line("%s: %d of 40 by the first route and %d of 40 by the added one are served", when, a, b)
	return a, b
}
