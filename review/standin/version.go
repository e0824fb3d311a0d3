package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// addAfter is when the route is added, and bumpAfter when new weights are named after that.
	addAfter  = 6 * time.Second
	bumpAfter = 3 * time.Second
	// steadyAfter is when requests begin to be counted after that, for steadyFor.
	steadyAfter = 10 * time.Second
	steadyFor   = 20 * time.Second
)

// laterRoute is the route that is added.
const laterRoute = `{"name":"r-2","hostname":"ficu95.example","pathPrefix":"/lohu930/","routeType":"streaming","timeoutMs":5000,"targetLatencyMs":800,"priority":0,"service":"assist-llm","maxAttempts":1,"stickySessions":true,"resumable":false,"gapAimMs":600},`

// version is the case of CONFIG: a route is added whose users name the model without an adapter, and then new weights
// of the model are named.
func (p *play) version() (broken bool, err error) {
	s, ctx, end, err := p.start([]int{2, 2, 2}, 1)
	defer end()
	if err != nil {
		return false, err
	}
	c := newCrowd(s)
	go c.watch(ctx)
	go c.run(ctx, 20, 24)
	sleep(ctx, addAfter)
	s.store.Put("op/config", []byte(strings.Replace(fmt.Sprintf(configText, 9, 5000), `"routes":[`, `"routes":[`+laterRoute, 1)))
	p.j.log("a configuration with one more route is acknowledged")
	added := time.Now()
	sleep(ctx, time.Second)
	go c.send(ctx, 20, laterPath, func(int) string { return model })
	sleep(ctx, bumpAfter)
	if p.crash {
		for _, r := range s.runners {
			r.mu.Lock()
			r.newest = 2
			r.mu.Unlock()
		}
		s.store.Put("op/version/"+model, fmt.Appendf(nil, `{"model":%q,"version":2}`, model))
		p.j.log("new weights of the model are named (version_bump): version 2")
	}
	bumped := time.Now()
	sleep(ctx, steadyAfter+steadyFor+deadline)
	report := func(what string, from, to time.Time) (first, later float64, n int) {
		sent, ok, by := c.servedOn(firstPath, from, to)
		p.j.log("%s, first route: %d sent, %d served; %s", what, sent, ok, by)
		first = float64(ok) / float64(max(sent, 1))
		sent, ok, by = c.servedOn(laterPath, from, to)
		p.j.log("%s, later route: %d sent, %d served; %s", what, sent, ok, by)
		return first, float64(ok) / float64(max(sent, 1)), sent
	}
	report("before the new weights", added.Add(time.Second), bumped)
	from := bumped.Add(steadyAfter)
	first, later, n := report("in steady state", from, from.Add(steadyFor))
	if n < 20 {
		return false, fmt.Errorf("only %d requests on the later route", n)
	}
	if 4*later < first {
		p.j.log("result: CONFIG is broken: the later route is served less than a quarter as often")
		return true, nil
	}
	p.j.log("result: CONFIG held")
	return false, nil
}
