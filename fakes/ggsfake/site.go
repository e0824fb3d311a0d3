package main

import (
	"time"

	"greengageslip/fakes/ggsfakesite"
)

// A siteCommand runs the stand-in of the users' platform: its store at the
// address, and its endpoints at the ports after it.
type siteCommand struct {
	executor
	Listen    address       `long:"listen" value-name:"ADDRESS" required:"true" description:"address of the store; endpoints get the ports after it"`
	Zones     []string      `long:"zone" value-name:"ZONE" required:"true" description:"a zone, for each of them"`
	Runners   int           `long:"runners" default:"2" description:"runners a zone"`
	Events    int           `long:"events" default:"8" description:"events of a stream"`
	EventTime time.Duration `long:"event-time" default:"5ms" description:"time of an event"`
}

func (c *siteCommand) site() *ggsfakesite.Site {
	return ggsfakesite.NewSite(ggsfakesite.SiteOptions{
		Listen: c.Listen.AddrPort, Zones: c.Zones, Runners: c.Runners, Events: c.Events, EventTime: c.EventTime,
		Now: time.Now, //nolint:forbidigo // the one clock of a process
	})
}
