package main

import (
	"time"

	"greengageslip/fakes/ggsfakesite"
)

// A siteCommand runs a simulated deployment of the users' platform. The store listens at
// Listen and the endpoints at the ports that follow.
type siteCommand struct {
	executor
	Listen    address       `long:"listen" value-name:"ADDRESS" required:"true" description:"address of the store; endpoints listen on the ports that follow"`
	Zones     []string      `long:"zone" value-name:"ZONE" required:"true" description:"name of a zone; may be repeated"`
	Runners   int           `long:"runners" default:"2" description:"runners per zone"`
	Events    int           `long:"events" default:"8" description:"events per stream"`
	EventTime time.Duration `long:"event-time" default:"5ms" description:"interval between the events of a stream"`
}

func (c *siteCommand) site() *ggsfakesite.Site {
	return ggsfakesite.NewSite(ggsfakesite.SiteOptions{
		Listen: c.Listen.AddrPort, Zones: c.Zones, Runners: c.Runners, Events: c.Events, EventTime: c.EventTime,
		Now: time.Now, //nolint:forbidigo // the process's clock
	})
}
