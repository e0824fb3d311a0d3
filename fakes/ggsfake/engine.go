package main

import (
	"time"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakeengine"
	"greengageslip/fakes/ggsfakeweights"
)

// A labels struct holds the flags that name an endpoint.
type labels struct {
	ID      string `long:"id" required:"true" description:"the endpoint's id"`
	Service string `long:"service" description:"the service that it serves"`
	Domain  string `long:"domain" description:"its failure domain"`
	Region  string `long:"region" description:"its region"`
}

// An engineCommand runs a model engine.
type engineCommand struct {
	listener
	labels
	Weights       address       `long:"weights" value-name:"ADDR" description:"the weight store; loads take no time without one"`
	Slots         int           `long:"slots" default:"8" description:"size of the batch"`
	AdapterSlots  int           `long:"adapter-slots" default:"8" description:"adapters held at once"`
	TokenInterval time.Duration `long:"token-interval" default:"20ms" description:"time between tokens in an empty batch"`
	BatchSlowdown float64       `long:"batch-slowdown" default:"0.3" description:"part by which a full batch is slower"`
	FirstToken    time.Duration `long:"first-token" default:"50ms" description:"time to the first token"`
	Tokens        int           `long:"tokens" default:"16" description:"length of answers that ask for none"`
	GuardsRunning bool          `long:"guards-running" description:"refuse to unload an adapter in use"`
	ChecksFence   bool          `long:"checks-fence" description:"refuse orders with an old fencing number"`
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
