package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// warmUp is the time before the disruptions.
	warmUp = 10 * time.Second
	// crashTime is how long the runners are down, and faultAfter when the final fault strikes after their crash.
	crashTime  = 5 * time.Second
	faultAfter = 2500 * time.Millisecond
	// downTime is the final fault's down_s, and recoverTime is recoverS.
	downTime    = 1600 * time.Millisecond
	recoverTime = 12 * time.Second
	// judged is how long requests are counted after that.
	judged = 10 * time.Second
)

// recover is the case of RECOVER: all runners of the service crash, and come back empty while the machines come
// back from the final fault.
func (p *play) recover() (broken bool, err error) {
	s, ctx, end, err := p.start([]int{2, 2, 2}, 3)
	defer end()
	if err != nil {
		return false, err
	}
	c := newCrowd(s)
	go c.watch(ctx)
	go c.run(ctx, 60, 48)
	begun := time.Now()
	sleep(ctx, warmUp)
	sent, ok, by := c.served(begun.Add(warmUp/2), begun.Add(warmUp-time.Second))
	p.j.log("before: %d requests sent, %d served; %s", sent, ok, by)
	if 4*ok < sent {
		return false, fmt.Errorf("only %d of %d requests were served before the disruptions", ok, sent)
	}
	crashed := time.Now()
	if p.crash {
		p.j.log("disruption: all runners crash (srv_crash)")
		for n, r := range s.runners {
			r.crash(fmt.Sprintf("i-02d9e6%02x", n))
		}
		time.AfterFunc(crashTime, func() {
			for _, r := range s.runners {
				if err := r.start(); err != nil {
					p.j.log("runner %s didn't start: %v", r.identity(), err)
				}
			}
			p.j.log("all runners are back, under new ids and empty")
		})
	}
	sleep(ctx, faultAfter)
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
	if !p.kill {
		back = crashed.Add(faultAfter + downTime)
	}
	sleep(ctx, time.Until(back.Add(recoverTime+judged+deadline)))
	return p.judge(c, back), nil
}

// judge reports whether RECOVER is broken, for machines that were back at a time.
func (p *play) judge(c *crowd, back time.Time) bool {
	for at := time.Duration(0); at < recoverTime+judged; at += 2 * time.Second {
		n, k, by := c.served(back.Add(at), back.Add(at+2*time.Second))
		p.j.log("%v after the machines are back: %d sent, %d served; %s", at, n, k, by)
	}
	sent, ok, by := c.served(back.Add(recoverTime), back.Add(recoverTime+judged))
	p.j.log("requests sent later than %v after the machines are back: %d sent, %d served; %s", recoverTime, sent, ok, by)
	if 4*ok < sent {
		p.j.log("result: RECOVER is broken: less than a quarter was served")
		return true
	}
	p.j.log("result: RECOVER held")
	return false
}
