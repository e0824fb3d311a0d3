package main

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"greengageslip/fakes/ggsfakeplatform"
)

// A platformCommand runs the simulated platform.
type platformCommand struct {
	listener
	WritesPerSecond float64       `long:"writes-per-second" default:"300" description:"limit of writes per second; 0 means no limit"`
	ReadsPerSecond  float64       `long:"reads-per-second" default:"2000" description:"limit of reads per second; 0 means no limit"`
	VMLag           time.Duration `long:"vm-lag" default:"2s" description:"lag of the list of VMs behind its changes"`
	VMs             string        `long:"vms" value-name:"FILE" description:"file with the list of VMs in the form that PUT /v1/vms accepts"`
}

func (c *platformCommand) build() (service, error) {
	o := ggsfakeplatform.DefaultOptions()
	o.WritesPerSecond = c.WritesPerSecond
	o.ReadsPerSecond = c.ReadsPerSecond
	o.VMLag = c.VMLag
	p := ggsfakeplatform.New(o)
	if c.VMs != "" {
		if err := c.readVMs(p); err != nil {
			return service{}, err
		}
	}
	return service{name: "platform", handler: p.Handler()}, nil
}

func (c *platformCommand) readVMs(p *ggsfakeplatform.Platform) error {
	b, err := os.ReadFile(c.VMs)
	if err != nil {
		return errors.Wrap(err, "read the list of VMs")
	}
	return errors.Wrap(p.ReadVMs(b), c.VMs)
}
