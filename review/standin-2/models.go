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
	adapters := 8
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
