package main

import (
	"time"

	"greengageslip/fakes/ggsfakeweights"
)

// A weightsCommand runs a simulated weight store.
type weightsCommand struct {
	listener
	LoadsPerSecond   float64       `long:"loads-per-second" default:"4" description:"limit of loads per second; 0 means no limit"`
	Burst            int           `long:"at-once" default:"3" description:"burst of the limit of loads"`
	LoadsAtFullSpeed int           `long:"in-transit" default:"24" description:"loads in transit above which all loads slow down"`
	LoadTime         time.Duration `long:"load-time" default:"250ms" description:"duration of a load"`
	Seed             uint64        `long:"seed" default:"1" description:"seed for the choice of failing loads"`
}

func (c *weightsCommand) build() (service, error) {
	if c.Burst < 1 {
		return service{}, &BadFlagError{Flag: "at-once", Want: "at least 1"}
	}
	w := ggsfakeweights.New(ggsfakeweights.Options{
		LoadsPerSecond:   c.LoadsPerSecond,
		Burst:            c.Burst,
		LoadsAtFullSpeed: c.LoadsAtFullSpeed,
		LoadTime:         c.LoadTime,
		Seed:             c.Seed,
	})
	return service{name: "weights", handler: w.Handler()}, nil
}
