package main

import (
	"time"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakeplain"
)

// A plainCommand runs a plain service, which counts its calls.
type plainCommand struct {
	listener
	labels
	CallTime time.Duration `long:"time" default:"5ms" description:"duration of a call"`
}

func (c *plainCommand) build() (service, error) {
	if c.CallTime < 0 {
		return service{}, &BadFlagError{Flag: "time", Want: "at least 0s"}
	}
	p := ggsfakeplain.New(ggsfakeplain.Options{ID: ggscore.EndpointID(c.ID), CallTime: c.CallTime})
	return service{name: "plain", handler: p.Handler(), labels: c.fields()}, nil
}
