package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// firstEventTime is the time to a stream's first event, and longEventTime the time of each event. Prompts of
	// 9,190 tokens take 241 ms to read, and several are read at once.
	firstEventTime = 600 * time.Millisecond
	longEventTime  = 50 * time.Millisecond
	// crashDown is how long the crashed runners are down.
	crashDown = 2 * time.Second
)

// quarantine is the case of RECOVER in which the runners of two zones crash soon after the machines are back.
func (p *play) quarantine() (broken bool, err error) {
	s, ctx, end, err := p.start([]int{4, 4, 4}, 3)
	defer end()
	if err != nil {
		return false, err
	}
	for _, r := range s.runners {
		r.firstTime, r.eventTime = firstEventTime, longEventTime
	}
	c := newCrowd(s)
	go c.watch(ctx)
	go c.run(ctx, 60, 48)
	begun := time.Now()
	sleep(ctx, warmUp)
	sent, ok, by := c.served(begun.Add(warmUp/2), begun.Add(warmUp-2*time.Second))
	p.j.log("before: %d requests sent, %d served; %s", sent, ok, by)
	if 4*ok < sent {
		return false, fmt.Errorf("only %d of %d requests were served before the disruptions", ok, sent)
	}
	s.store.Put("op/config", fmt.Appendf(nil, configText, 9, 5100))
	p.j.log("a configuration is acknowledged")
	if p.kill {
		p.j.log("disruption: all processes are killed (kill_all)")
		var w sync.WaitGroup
		for _, e := range s.edges {
			w.Go(func() { e.end(syscall.SIGKILL) })
		}
		w.Wait()
		sleep(ctx, downTime)
		for _, e := range s.edges {
			if err := e.start(false); err != nil {
				return false, err
			}
		}
		p.j.log("all machines are back")
	}
	back := time.Now()
	if err := s.awaitReady(ctx); err != nil {
		return false, err
	}
	sleep(ctx, p.crashAt)
	if p.crash {
		p.j.log("disruption: the runners of two zones crash (srv_crash)")
		for n, r := range s.runners {
			if r.zone == zones[2] {
				continue
			}
			r.crash(fmt.Sprintf("i-02d9e6%02x", n))
			time.AfterFunc(crashDown, func() {
				if err := r.start(); err != nil {
					p.j.log("runner %s didn't start: %v", r.identity(), err)
				}
			})
		}
		time.AfterFunc(crashDown, func() { p.j.log("these runners are back, under new ids and empty") })
	}
	sleep(ctx, time.Until(back.Add(recoverTime+judged+deadline)))
	return p.judge(c, back), nil
}
