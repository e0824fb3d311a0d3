package main

import (
	"time"

	"greengageslip/fakes/ggsfakeweights"
)

// A weightsCommand runs the weight store.
type weightsCommand struct {
	listener
	LoadsPerSecond float64       `long:"loads-per-second" default:"4" description:"limit of loads; 0 is none"`
	AtOnce         int           `long:"at-once" default:"3" description:"loads that may start at once"`
	InTransit      int           `long:"in-transit" default:"24" description:"loads beyond which all slow down"`
	LoadTime       time.Duration `long:"load-time" default:"250ms" description:"how long a load takes"`
	Seed           uint64        `long:"seed" default:"1" description:"seed of the loads that fail"`
}

func (c *weightsCommand) build() (service, error) {
	if c.AtOnce < 1 {
		return service{}, &BadFlagError{Flag: "at-once", Want: "at least 1"}
	}
	w := ggsfakeweights.New(ggsfakeweights.Options{
		LoadsPerSecond: c.LoadsPerSecond,
		AtOnce:         c.AtOnce,
		InTransit:      c.InTransit,
		LoadTime:       c.LoadTime,
		Seed:           c.Seed,
	})
	return service{name: "weights", handler: w.Handler()}, nil
}
