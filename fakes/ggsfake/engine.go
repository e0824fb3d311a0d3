package main

import (
	"time"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakeengine"
	"greengageslip/fakes/ggsfakeweights"
)

// labels are the flags that identify an endpoint.
type labels struct {
	ID      string `long:"id" required:"true" description:"ID of the endpoint"`
	Service string `long:"service" description:"service of the endpoint"`
	Domain  string `long:"domain" description:"failure domain of the endpoint"`
	Region  string `long:"region" description:"region of the endpoint"`
}

// An engineCommand runs a simulated inference engine.
type engineCommand struct {
	listener
	labels
	Weights       address       `long:"weights" value-name:"ADDR" description:"address of the weight store; without one loads take no time"`
	Slots         int           `long:"slots" default:"8" description:"maximum number of running requests"`
	AdapterSlots  int           `long:"adapter-slots" default:"8" description:"maximum number of adapters, loading ones included"`
	TokenInterval time.Duration `long:"token-interval" default:"20ms" description:"time between tokens in an empty batch"`
	BatchSlowdown float64       `long:"batch-slowdown" default:"0.3" description:"fraction by which a full batch is slower"`
	FirstToken    time.Duration `long:"first-token" default:"50ms" description:"time to the first token"`
	Tokens        int           `long:"tokens" default:"16" description:"tokens of an answer if the request has no max_tokens"`
	GuardsRunning bool          `long:"guards-running" description:"refuse to unload an adapter that is in use"`
	ChecksFence   bool          `long:"checks-fence" description:"refuse orders with an outdated fencing token"`
}

func (c *engineCommand) build() (service, error) {
	if c.Slots < 1 {
		return service{}, &BadFlagError{Flag: "slots", Want: "at least 1"}
	}
	if c.AdapterSlots < 1 {
		return service{}, &BadFlagError{Flag: "adapter-slots", Want: "at least 1"}
	}
	o := ggsfakeengine.DefaultOptions()
	o.ID = ggscore.EndpointID(c.ID)
	o.Slots = c.Slots
	o.AdapterSlots = c.AdapterSlots
	o.TokenInterval = c.TokenInterval
	o.BatchSlowdown = c.BatchSlowdown
	o.FirstToken = c.FirstToken
	o.DefaultTokens = c.Tokens
	o.GuardsRunning = c.GuardsRunning
	o.ChecksFence = c.ChecksFence
	if c.Weights.IsValid() {
		o.Weights = ggsfakeweights.NewClient(c.Weights.AddrPort)
	}
	e := ggsfakeengine.New(o)
	return service{
		name:    "engine",
		handler: e.Handler(),
		close:   e.Close,
		labels:  c.fields(),
	}, nil
}

func (l *labels) fields() []any {
	return []any{"id", l.ID, "serves", l.Service, "domain", l.Domain, "region", l.Region}
}
