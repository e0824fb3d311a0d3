package ggstunnel

import (
	"context"
	"net/netip"
	"time"

	ggscore "greengageslip/core"
)

const (
	// monitorInterval is the time between checks for silent connections.
	monitorInterval = 200 * time.Millisecond
	// vmSilence is the time without a byte from any endpoint, while requests wait, after which
	// this VM's paths are checked.
	vmSilence = 500 * time.Millisecond
	// endpointSilence is the same for a single endpoint. It exceeds the pauses of endpoints that
	// work.
	endpointSilence = 1500 * time.Millisecond
	// peerSilence is the time without a byte through a peer, while requests wait, after which
	// other peers are preferred.
	peerSilence = 1500 * time.Millisecond
	// checkInterval is the least time between two checks of an endpoint's path.
	checkInterval = time.Second
	// maxChecks bounds the paths that are checked at once.
	maxChecks = 3
)

// Run checks the paths of silent connections, and probes broken paths, until the context ends.
func (d *Dialer) Run(ctx context.Context) error {
	t := time.NewTicker(monitorInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		for _, a := range d.suspected() {
			go d.check(ctx, a)
		}
		d.mu.Lock()
		a, ok := d.table.NextProbe(d.options.Now())
		d.mu.Unlock()
		if ok {
			go d.probe(ctx, a)
		}
		d.reportChanges()
	}
}

// check dials an endpoint by all candidates. The connection is only evidence of the path.
func (d *Dialer) check(ctx context.Context, addr netip.AddrPort) {
	if c, err := d.dial(ctx, addr, true); err == nil {
		_ = c.Close()
	}
}

// probe dials an endpoint directly although its path is broken.
func (d *Dialer) probe(ctx context.Context, addr netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.open(ctx, candidate{}, addr)
	if err != nil {
		return
	}
	_ = c.Close()
	d.record(ctx, addr, dialed{}, false)
}

// A silence describes the connections to one endpoint, or through one peer.
type silence struct {
	waitingSince time.Time
	received     time.Time
	waiting      int
}

func (s *silence) add(c *conn) {
	if at := c.waitingSince.Load(); at != 0 {
		s.waiting++
		if w := time.Unix(0, at); s.waitingSince.IsZero() || w.Before(s.waitingSince) {
			s.waitingSince = w
		}
	}
	if at := time.Unix(0, c.received.Load()); at.After(s.received) {
		s.received = at
	}
}

// longer reports whether requests have waited for longer than limit without a byte.
func (s *silence) longer(now time.Time, limit time.Duration) bool {
	return s.waiting > 0 && now.Sub(s.waitingSince) > limit && now.Sub(s.received) > limit
}

// suspected returns the endpoints whose paths are to be checked, and marks the peers through which
// nothing arrives.
func (d *Dialer) suspected() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Now()
	var all silence
	endpoints, peers := map[netip.AddrPort]*silence{}, map[ggscore.VMID]*silence{}
	for c := range d.conns {
		if c.peer != "" {
			of(peers, c.peer).add(c)
			continue
		}
		all.add(c)
		of(endpoints, c.addr).add(c)
	}
	for vm, s := range peers {
		if s.longer(now, peerSilence) {
			d.table.PeerUnavailable(now, vm)
		}
	}
	if !all.received.IsZero() {
		d.table.Received(all.received)
	}
	for a, s := range endpoints {
		if s.waiting > 0 && (all.longer(now, vmSilence) && now.Sub(s.waitingSince) > vmSilence || s.longer(now, endpointSilence)) {
			d.suspects[a] = struct{}{}
		}
	}
	if a, ok := d.table.NextCheck(); ok {
		d.suspects[a] = struct{}{}
	}
	var as []netip.AddrPort
	for a := range d.suspects {
		if !d.table.Blocked(a) && now.Sub(d.checked[a]) >= checkInterval && len(as) < maxChecks {
			d.checked[a] = now
			as = append(as, a)
		}
	}
	clear(d.suspects)
	return as
}

// of returns the silence of a key.
func of[K comparable](m map[K]*silence, k K) *silence {
	s := m[k]
	if s == nil {
		s = &silence{}
		m[k] = s
	}
	return s
}
