package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const thawSlack = 300 * time.Millisecond

// oldOrder restarts the process that gives a runner its orders while the runner is behind a partition of 2 s.
func oldOrder(w *world) (bool, error) {
	w.site.store.Put("op/config", config(7, route("draft", "/draft/", "streaming", "models", 5*time.Second, 800*time.Millisecond)+","+
		route("look", "/look/", "safe", "app", 1200*time.Millisecond, 120*time.Millisecond), engineService("models")+","+plainService("app")))
	n := &runner{id: "i-models-0", service: "models", addr: w.net.addr(20, 8080), advertised: w.net.addr(21, 8080), zone: "a", model: true, eventTime: 5 * time.Millisecond}
	w.site.add(n)
	for k := range 5 {
		w.site.add(&runner{id: fmt.Sprintf("i-app-%d", k), service: "app", addr: w.net.addr(30+k, 8080), zone: w.net.zone(k % 3)})
	}
	k := &link{from: n.advertised, to: n.addr, log: w.log}
	if err := k.start(); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	var away atomic.Pointer[edge]
	for j, e := range w.edges {
		go load(e, j, &away, stop)
	}
	owner, err := w.awaitOwner(n)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	w.log.line("the runner's orders come from %s", owner.name)
	var healed time.Time
	if w.trouble {
		w.log.line("SIGTERM to %s", owner.name)
		_ = owner.signal(syscall.SIGTERM)
		// The platform sends it no new connections after two checks without a 200.
		time.Sleep(balancerTime)
		away.Store(owner)
		time.Sleep(stopToCut - balancerTime)
		w.log.line("the runner is cut off")
		if err := k.setCut(); err != nil {
			return false, err
		}
		cut := time.Now()
		<-owner.exited
		w.log.line("%s has ended", owner.name)
		time.Sleep(100 * time.Millisecond)
		if err := owner.start(); err != nil {
			return false, err
		}
		if err := w.awaitReady(owner); err != nil {
			return false, err
		}
		away.Store(nil)
		time.Sleep(time.Until(cut.Add(cutTime)))
		if err := k.heal(); err != nil {
			return false, err
		}
		healed = time.Now()
		w.log.line("the cut is over")
	}
	time.Sleep(4 * time.Second)
	return n.fencesFell(healed), nil
}

const (
	// balancerTime is the time from SIGTERM until the process gets no new connections.
	balancerTime = 1500 * time.Millisecond
	// stopToCut is the time from SIGTERM to the cut, a little before the process gives its last orders.
	stopToCut = 2100 * time.Millisecond
	cutTime   = 2 * time.Second
)

// awaitOwner waits until a runner gets orders, and returns the process that gives them.
func (w *world) awaitOwner(n *runner) (*edge, error) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n.mu.Lock()
		os := n.engine.orders
		n.mu.Unlock()
		if len(os) < 5 {
			continue
		}
		for _, e := range w.edges {
			if strings.Contains(os[len(os)-1].holder, e.ip) {
				return e, nil
			}
		}
	}
	return nil, fmt.Errorf("the runner gets no orders")
}

// load asks for adapters, most of which aren't resident, on connections of its own.
func load(e *edge, seed int, away *atomic.Pointer[edge], stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(uint64(seed), 1))
	t := time.NewTicker(40 * time.Millisecond)
	defer t.Stop()
	for k := 0; ; k++ {
		select {
		case <-t.C:
		case <-stop:
			return
		}
		if away.Load() == e {
			continue
		}
		a := 1 + r.IntN(400)
		go func() {
			c := &client{addr: e.front()}
			defer c.drop()
			h := strings.Replace(streamHeaders(2), "Model: "+modelName, fmt.Sprintf("Model: %s/a%d", modelName, a), 1)
			c.do("POST", "/draft/x", fmt.Sprintf("draft-%d-%d", seed, k), 3*time.Second, h, "{}")
		}()
	}
}

// fencesFell reports whether an order came with a lower fencing token than one before. Those shortly after the cut don't count.
func (n *runner) fencesFell(healed time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	highest, fell := uint64(0), false
	for _, o := range n.engine.orders {
		if o.fence < highest {
			excused := !healed.IsZero() && o.at.After(healed) && o.at.Sub(healed) <= thawSlack
			n.log.line("fence %d after %d, %.3f s after the cut: %s (excused: %v)", o.fence, highest, o.at.Sub(healed).Seconds(), o.text, excused)
			fell = fell || !excused
		}
		highest = max(highest, o.fence)
	}
	return fell
}
