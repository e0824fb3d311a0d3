package ggsfakesite

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// Names of a Site's services, and the host name of its routes.
const (
	Models = "models"
	Ledger = "ledger"
	Host   = "site.example"
)

// entryPrefix is the prefix of the endpoints' entries in the store.
const entryPrefix = "servers/"

// entryInterval is the interval at which a Site's endpoints write their entries.
const entryInterval = 200 * time.Millisecond

// SiteOptions configure a Site. With zero Runners each zone has one runner, and with zero Ledgers
// one ledger.
type SiteOptions struct {
	// Listen is the store's address. Endpoints listen on the ports that follow it.
	Listen  netip.AddrPort
	Zones   []string
	Runners int
	Ledgers int
	// LedgerSlots is the number of requests that a ledger runs at once, zero for DefaultSlots.
	LedgerSlots int
	Events      int
	// EventTime is the interval between the events of a stream.
	EventTime time.Duration
	// LoadTime is the time to load an adapter, zero for DefaultLoadTime.
	LoadTime time.Duration
	Now      func() time.Time
	// Advertised maps endpoint IDs to the addresses in their entries, such as those of
	// simulated links. Endpoints without one advertise their own address.
	Advertised map[string]netip.AddrPort
}

// A Site is a small deployment: a store, its endpoints and its configuration. Requests
// below /chat/ are streams, and those below /tell/ are streams that may be resumed. Those below /pay/
// must not be retried, and those below /look/ may be.
type Site struct {
	Store     *Store
	Endpoints map[string]*Endpoint

	options SiteOptions
	addrs   map[string]netip.AddrPort
	zones   map[string]string

	// mu is a leaf lock and guards draining, down, lost, keys, entriesPausedUntil and entryLinger.
	mu       sync.Mutex
	draining map[string]bool
	// down are the endpoints whose processes have crashed and aren't back.
	down map[string]bool
	// lost are the endpoints whose entries were removed for good.
	lost map[string]bool
	// keys are the keys of the entries of the endpoints' processes.
	keys map[string][]string
	// entriesPausedUntil is the time until which endpoints don't write their entries.
	entriesPausedUntil time.Time
	// entryLinger is the time for which the entry of a process that was replaced stays.
	entryLinger time.Duration
}

// NewSite returns a site that isn't running.
func NewSite(o SiteOptions) *Site {
	s := &Site{
		Store: NewStore(), Endpoints: map[string]*Endpoint{}, options: o,
		addrs: map[string]netip.AddrPort{}, zones: map[string]string{}, draining: map[string]bool{}, down: map[string]bool{}, lost: map[string]bool{}, keys: map[string][]string{},
	}
	port := o.Listen.Port()
	add := func(id, service, zone string, engine bool) {
		port++
		slots := 0
		if !engine {
			slots = o.LedgerSlots
		}
		s.Endpoints[id] = NewEndpoint(EndpointOptions{
			ID: id, Service: service, Engine: engine, Slots: slots, Events: o.Events, EventTime: o.EventTime, LoadTime: o.LoadTime, Now: o.Now,
		})
		s.addrs[id], s.zones[id] = netip.AddrPortFrom(o.Listen.Addr(), port), zone
	}
	for z, zone := range o.Zones {
		for n := range max(o.Runners, 1) {
			add(fmt.Sprintf("runner-%d%d", z, n), Models, zone, true)
		}
		add(fmt.Sprintf("ledger-%d", z), Ledger, zone, false)
		for n := 1; n < o.Ledgers; n++ {
			add(fmt.Sprintf("ledger-%d-%d", z, n), Ledger, zone, false)
		}
	}
	s.Store.Put("op/config", Config(1, "/chat/"))
	return s
}

// Config returns the configuration with the given version. The path prefix of streams is
// chat.
func Config(version int, chat string) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"chat","hostname":%q,"pathPrefix":%q,"routeType":"streaming","timeoutMs":5000,"targetLatencyMs":800,"service":%q,"maxAttempts":1},
		{"name":"pay","hostname":%q,"pathPrefix":"/pay/","routeType":"unsafe","timeoutMs":1200,"service":%q,"maxAttempts":1},
		{"name":"look","hostname":%q,"pathPrefix":"/look/","routeType":"safe","timeoutMs":1200,"service":%q,"maxAttempts":2},
		{"name":"tell","hostname":%q,"pathPrefix":"/tell/","routeType":"streaming","timeoutMs":5000,"targetLatencyMs":800,"service":%q,"maxAttempts":2,"resumable":true}],
		"services":[{"name":%q,"maxConnections":100,"engine":{"slots":16,"models":[{"name":%q,"weightsMb":1,"loadS":1,"adapterMb":1}],"adapterSlots":4}},
		{"name":%q,"maxConnections":100}],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, Host, chat, Models, Host, Ledger, Host, Ledger, Host, Models, Models, DefaultModel, Ledger))
}

// ConfigOfModels returns the configuration of Config with several models, of which a runner has memory for one.
func ConfigOfModels(version int, models ...string) []byte {
	var l []string
	for _, m := range models {
		l = append(l, fmt.Sprintf(`{"name":%q,"weightsMb":9,"loadS":1,"adapterMb":0.1}`, m))
	}
	one := fmt.Sprintf(`"models":[{"name":%q,"weightsMb":1,"loadS":1,"adapterMb":1}]`, DefaultModel)
	return []byte(strings.Replace(string(Config(version, "/chat/")), one, `"weightsMb":10,"models":[`+strings.Join(l, ",")+"]", 1))
}

// LargeConfig returns the configuration of Config with the given number of additional
// routes.
func LargeConfig(version int, chat string, routes int) []byte {
	const routesKey = `"routes":[`
	var b strings.Builder
	b.WriteString(routesKey)
	for n := range routes {
		fmt.Fprintf(&b, `{"name":"extra-%d","hostname":%q,"pathPrefix":"/extra-%d/","routeType":"safe","timeoutMs":1200,`+
			`"targetLatencyMs":200,"priority":2,"service":%q,"maxAttempts":2,"resumable":false,"gapAimMs":0},`, n, Host, n, Ledger)
	}
	return []byte(strings.Replace(string(Config(version, chat)), routesKey, b.String(), 1))
}

// Addr returns an endpoint's own address.
func (s *Site) Addr(id string) netip.AddrPort { return s.addrs[id] }

// Run serves the store and the endpoints until the context is done. It returns an error if
// an address can't be listened on.
//
// Site.mu is never held while Store.mu or Endpoint.mu is locked.
func (s *Site) Run(ctx context.Context) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.options.Listen.String())
	if err != nil {
		return err
	}
	v := &http.Server{Handler: s.Store, ReadHeaderTimeout: entryInterval * 25}
	// Run closes the server when the context is done.
	go func() { _ = v.Serve(l) }()
	defer func() { _ = v.Close() }()
	var endpoints sync.WaitGroup
	defer endpoints.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for id := range s.Endpoints {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.addrs[id].String())
		if err != nil {
			return err
		}
		endpoints.Go(func() { s.serveEndpoint(ctx, id, l) })
	}
	t := time.NewTicker(entryInterval)
	defer t.Stop()
	for {
		for id := range s.Endpoints {
			s.writeEntry(id)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Drain sets the state of an endpoint's entry to draining. The endpoint continues to serve.
func (s *Site) Drain(id string) {
	s.mu.Lock()
	s.draining[id] = true
	s.mu.Unlock()
	s.writeEntry(id)
}

// Lose removes an endpoint's entry for good.
func (s *Site) Lose(id string) {
	s.mu.Lock()
	s.lost[id] = true
	s.mu.Unlock()
	s.Store.Delete(entryPrefix + s.Endpoints[id].ID())
}

// isLost reports whether an endpoint's entry was removed for good.
func (s *Site) isLost(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost[id]
}

// Restore restores the store from a backup. Endpoints don't write their entries for the given
// time after the restore.
func (s *Site) Restore(b Backup, pause time.Duration) {
	s.mu.Lock()
	s.entriesPausedUntil = s.options.Now().Add(pause)
	s.mu.Unlock()
	s.Store.Restore(b)
}

// SetEntryLinger sets the time for which the entry of a process that was replaced stays in the store.
func (s *Site) SetEntryLinger(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entryLinger = d
}

// ResumeEntries ends the pause that Restore began: endpoints write their entries again.
func (s *Site) ResumeEntries() {
	s.mu.Lock()
	s.entriesPausedUntil = time.Time{}
	s.mu.Unlock()
}

// writeEntry writes an endpoint's entry to the store, unless entries are paused.
func (s *Site) writeEntry(id string) {
	s.mu.Lock()
	draining := s.draining[id]
	paused := s.down[id] || s.lost[id] || s.options.Now().Before(s.entriesPausedUntil)
	s.mu.Unlock()
	if paused {
		return
	}
	addr, ok := s.options.Advertised[id]
	if !ok {
		addr = s.addrs[id]
	}
	k, age := entryPrefix+s.Endpoints[id].ID(), s.Endpoints[id].age()
	s.mu.Lock()
	if !slices.Contains(s.keys[id], k) {
		s.keys[id] = append(s.keys[id], k)
	}
	keys := slices.Clone(s.keys[id])
	lingers := s.entryLinger > age
	s.mu.Unlock()
	// The entry of a process that is gone may be back in the store after a restore.
	for _, last := range keys {
		if !lingers && last != k && s.Store.Get(last) != nil {
			s.Store.Delete(last)
		}
	}
	s.Store.Put(k, s.Endpoints[id].Entry(addr.String(), s.zones[id], draining))
	if s.isLost(id) {
		s.Store.Delete(k)
	}
}

// Runs returns the number of runs by request ID, summed over the endpoints.
func (s *Site) Runs() map[string]int {
	all := map[string]int{}
	for _, e := range s.Endpoints {
		for id, n := range e.Runs() {
			all[id] += n
		}
	}
	return all
}
