package ggsfakesite

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// The names of a Site's services and the host of its routes.
const (
	Models = "models"
	Ledger = "ledger"
	Host   = "site.example"
)

// entryInterval is how often a Site's endpoints write their entries.
const entryInterval = 200 * time.Millisecond

// A SiteOptions sets a Site. Zero fields mean one runner and one ledger a zone.
type SiteOptions struct {
	// Listen is the store's address; endpoints get the ports after it.
	Listen  netip.AddrPort
	Zones   []string
	Runners int
	Events  int
	// EventTime is the time of each event of a stream.
	EventTime time.Duration
	Now       func() time.Time
	// Advertised are addresses that entries name in place of the endpoints' own,
	// such as those of links before them.
	Advertised map[string]netip.AddrPort
}

// A Site is a store with the endpoints and the configuration of a small
// deployment: streams below /chat/, answers that may not be repeated below
// /pay/, and such that may below /look/.
type Site struct {
	Store     *Store
	Endpoints map[string]*Endpoint

	options SiteOptions
	addrs   map[string]netip.AddrPort
	zones   map[string]string
	servers []*http.Server

	// mu guards draining and quietUntil, and is a leaf.
	mu       sync.Mutex
	draining map[string]bool
	// quietUntil is when endpoints write their entries again.
	quietUntil time.Time
}

// NewSite returns a site that doesn't run yet.
func NewSite(o SiteOptions) *Site {
	s := &Site{
		Store: NewStore(), Endpoints: map[string]*Endpoint{}, options: o,
		addrs: map[string]netip.AddrPort{}, zones: map[string]string{}, draining: map[string]bool{},
	}
	port := o.Listen.Port()
	add := func(id, service, zone string, engine bool) {
		port++
		s.Endpoints[id] = NewEndpoint(EndpointOptions{
			ID: id, Service: service, Engine: engine, Events: o.Events, EventTime: o.EventTime, Now: o.Now,
		})
		s.addrs[id], s.zones[id] = netip.AddrPortFrom(o.Listen.Addr(), port), zone
	}
	for z, zone := range o.Zones {
		for n := range max(o.Runners, 1) {
			add(fmt.Sprintf("runner-%d%d", z, n), Models, zone, true)
		}
		add(fmt.Sprintf("ledger-%d", z), Ledger, zone, false)
	}
	s.Store.Put("op/config", Config(1, "/chat/"))
	return s
}

// Config returns a version of the configuration, with streams below a prefix.
func Config(version int, chat string) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"chat","hostname":%q,"pathPrefix":%q,"routeType":"streaming","timeoutMs":5000,"targetLatencyMs":800,"service":%q,"maxAttempts":1},
		{"name":"pay","hostname":%q,"pathPrefix":"/pay/","routeType":"unsafe","timeoutMs":1200,"service":%q,"maxAttempts":1},
		{"name":"look","hostname":%q,"pathPrefix":"/look/","routeType":"safe","timeoutMs":1200,"service":%q,"maxAttempts":2}],
		"services":[{"name":%q,"maxConnections":100,"engine":{"slots":16,"models":[{"name":%q,"weightsMb":1,"loadS":1,"adapterMb":1}],"adapterSlots":4}},
		{"name":%q,"maxConnections":100}],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, Host, chat, Models, Host, Ledger, Host, Ledger, Models, DefaultModel, Ledger))
}

// LargeConfig returns a version of the configuration with so many routes besides those
// of Config.
func LargeConfig(version int, chat string, routes int) []byte {
	const first = `"routes":[`
	var b strings.Builder
	b.WriteString(first)
	for n := range routes {
		fmt.Fprintf(&b, `{"name":"extra-%d","hostname":%q,"pathPrefix":"/extra-%d/","routeType":"safe","timeoutMs":1200,`+
			`"targetLatencyMs":200,"priority":2,"service":%q,"maxAttempts":2,"resumable":false,"gapAimMs":0},`, n, Host, n, Ledger)
	}
	return []byte(strings.Replace(string(Config(version, chat)), first, b.String(), 1))
}

// Addr returns an endpoint's own address.
func (s *Site) Addr(id string) netip.AddrPort { return s.addrs[id] }

// Run serves until the context ends.
//
// Site.mu is never held while Store.mu or Endpoint.mu is locked.
func (s *Site) Run(ctx context.Context) error {
	handlers := map[netip.AddrPort]http.Handler{s.options.Listen: s.Store}
	for id, e := range s.Endpoints {
		handlers[s.addrs[id]] = e
	}
	for addr, h := range handlers {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr.String())
		if err != nil {
			return err
		}
		v := &http.Server{Handler: h, ReadHeaderTimeout: entryInterval * 25}
		s.servers = append(s.servers, v)
		// The server's end is the context's.
		go func() { _ = v.Serve(l) }()
	}
	defer func() {
		for _, v := range s.servers {
			_ = v.Close()
		}
	}()
	t := time.NewTicker(entryInterval)
	defer t.Stop()
	for {
		for id := range s.Endpoints {
			s.announce(id)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Drain makes an endpoint say that it leaves. It goes on serving.
func (s *Site) Drain(id string) {
	s.mu.Lock()
	s.draining[id] = true
	s.mu.Unlock()
	s.announce(id)
}

// Return has the store come back from a copy; endpoints write their entries again after some
// time.
func (s *Site) Return(c Copy, after time.Duration) {
	s.mu.Lock()
	s.quietUntil = s.options.Now().Add(after)
	s.mu.Unlock()
	s.Store.Return(c)
}

// Rewrite has endpoints write their entries again.
func (s *Site) Rewrite() {
	s.mu.Lock()
	s.quietUntil = time.Time{}
	s.mu.Unlock()
}

// announce writes an endpoint's entry.
func (s *Site) announce(id string) {
	s.mu.Lock()
	draining := s.draining[id]
	quiet := s.options.Now().Before(s.quietUntil)
	s.mu.Unlock()
	if quiet {
		return
	}
	addr, ok := s.options.Advertised[id]
	if !ok {
		addr = s.addrs[id]
	}
	s.Store.Put("servers/"+id, s.Endpoints[id].Entry(addr.String(), s.zones[id], draining))
}

// Runs returns how often each request was run by any endpoint.
func (s *Site) Runs() map[string]int {
	all := map[string]int{}
	for _, e := range s.Endpoints {
		for id, n := range e.Runs() {
			all[id] += n
		}
	}
	return all
}
