package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	// lateOneIn, lateFor and lateDelay are applied_late: one order in so many isn't answered, for lateFor, and
	// each of these is carried out lateDelay after it came.
	lateOneIn = 3
	lateFor   = 5500 * time.Millisecond
	lateDelay = 11500 * time.Millisecond
	// crashAfter is when the runner crashes after that began, for runnerDown; killDown is how long the VM is down.
	crashAfter = 1500 * time.Millisecond
	runnerDown = 2 * time.Second
	killDown   = time.Second
	// settle is the time for which the runner holds all popular adapters before the disruptions.
	settle = 3 * time.Second
	// loadTime bounds the time until then.
	loadTime = 30 * time.Second
)

// limit is the case of LIMIT: an order is carried out late, by the runner's next process, after the VM that gave it was
// restarted.
func (p *play) limit() (broken bool, err error) {
	s, ctx, end, err := p.start([]int{1, 0, 0}, 1)
	defer end()
	if err != nil {
		return false, err
	}
	c := newCrowd(s)
	go c.watch(ctx)
	go c.run(ctx, 25, adapterSlots)
	r := s.runners[0]
	full := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.advance()
		return len(r.held) == adapterSlots
	}
	for begun := time.Now(); !full(); sleep(ctx, 50*time.Millisecond) {
		if time.Since(begun) > loadTime {
			return false, fmt.Errorf("the adapters weren't loaded")
		}
	}
	sleep(ctx, settle)
	p.j.log("the runner holds a1 to a%d", adapterSlots)
	if p.crash || p.kill {
		p.j.log("disruption: one order in %d isn't answered, and carried out %v later (applied_late)", lateOneIn, lateDelay)
		r.setLate(&lateness{oneIn: lateOneIn, delay: lateDelay})
		time.AfterFunc(lateFor, func() { r.setLate(nil) })
	}
	begun := time.Now()
	go func() {
		status, _ := c.ask(s.edges[0], firstPath, model+"/a17", deadline)
		p.j.log("a rare adapter was asked for once: a17, answer %d", status)
	}()
	sleep(ctx, crashAfter)
	r.mu.Lock()
	owner := r.owner
	r.mu.Unlock()
	if p.crash {
		p.j.log("disruption: the runner crashes (srv_crash)")
		r.crash(r.identity())
		time.AfterFunc(runnerDown, func() {
			if err := r.start(); err != nil {
				p.j.log("the runner didn't start: %v", err)
				return
			}
			p.j.log("the runner is back under its id, empty")
		})
	}
	for _, e := range s.edges {
		if !p.kill || !strings.HasPrefix(owner, e.name+"@") {
			continue
		}
		p.j.log("disruption: SIGKILL of %s, which gave the last order (node_kill)", e.name)
		e.end(syscall.SIGKILL)
		time.AfterFunc(killDown, func() {
			p.j.log("%s is started again: %v", e.name, e.start(false))
		})
	}
	// More users come back for the popular adapters.
	sleep(ctx, runnerDown)
	go c.run(ctx, 60, adapterSlots)
	sleep(ctx, time.Until(begun.Add(lateDelay+lateFor)))
	sent, ok, by := c.served(begun, time.Now())
	p.j.log("%d requests sent, %d served; %s", sent, ok, by)
	r.mu.Lock()
	defer r.mu.Unlock()
	p.j.log("orders while applied_late lasted: %d, unanswered: %d", r.orders, r.unheard)
	if r.broken {
		p.j.log("result: LIMIT is broken")
		return true, nil
	}
	p.j.log("result: LIMIT held")
	return false, nil
}

func (r *runner) setLate(l *lateness) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = l
}
