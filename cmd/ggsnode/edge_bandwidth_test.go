package ggsnode

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakelink"
	"greengageslip/fakes/ggsfakesite"
	ggsdialect "greengageslip/platform"
)

const (
	// slowLinkBytesPerSecond is 10 Mbit/s.
	slowLinkBytesPerSecond = 10_000_000 / 8
	// largeRoutes is a number of routes whose configuration is just below the store's
	// value limit of 1 MB.
	largeRoutes = 4250
	// applyBound limits the time from a configuration's acknowledgement until it is in force.
	applyBound = 4 * time.Second
)

// linkTo starts a slow link to a process and returns the link's listen address.
func (s *siteTest) linkTo(t *testing.T, target netip.AddrPort) (*ggsfakelink.Link, netip.AddrPort) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ip := netip.AddrFrom4([4]byte{127, 9, s.network, 200})
	n, err := (&net.ListenConfig{}).Listen(ctx, "tcp", netip.AddrPortFrom(ip, 0).String())
	s.c.Assert(err, qt.IsNil)
	l := ggsfakelink.New(target)
	l.SetFaults(ggsfakelink.Faults{BytesPerSecond: slowLinkBytesPerSecond})
	done := make(chan error, 1)
	go func() { done <- l.Serve(ctx, n) }()
	t.Cleanup(func() {
		cancel()
		s.c.Check(<-done, qt.IsNil)
	})
	return l, netip.MustParseAddrPort(n.Addr().String())
}

// startSlowLinkSite starts a site with two serving edges, the second of which reaches the
// store over a slow link.
func startSlowLinkSite(t *testing.T) (*siteTest, *ggsfakelink.Link) {
	t.Helper()
	s := startSite(t, 1)
	l, at := s.linkTo(t, s.store())
	s.startEdgeWith(t, 1, func(d *ggsdialect.Settings) { d.Store = at })
	s.eventually("the second edge is ready", func() bool { return s.ready(1) == http.StatusOK })
	s.eventually("the edges serve", func() bool { return s.served(0, "/chat/x") && s.served(1, "/chat/x") })
	return s, l
}

func (s *siteTest) store() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, s.network, 1}), 7000)
}

func (s *siteTest) served(n int, path string) bool {
	return s.call(n, http.MethodPost, path, "m/a7", "Hola").status == http.StatusOK
}

// Guards against a VM on a slow link that keeps its old configuration, because the transfer of
// the new one takes longer than the call timeout.
func TestLargeConfigurationIsInForceOverASlowLink(t *testing.T) {
	t.Parallel()
	s, _ := startSlowLinkSite(t)
	s.site.Store.Put("op/config", ggsfakesite.LargeConfig(2, "/talk/", largeRoutes))
	acked := time.Now()
	s.eventually("the change is in force at the edge with the fast link", func() bool { return s.served(0, "/talk/x") })
	s.eventually("the change is in force at the edge with the slow link", func() bool { return s.served(1, "/talk/x") })
	took := time.Since(acked)
	s.c.Assert(took < applyBound, qt.IsTrue, qt.Commentf("%s", took))
}

// Guards against a change notification from a peer that aborts a transfer in flight, so that the
// same configuration is read again.
func TestLargeConfigurationIsReadOnce(t *testing.T) {
	t.Parallel()
	s, l := startSlowLinkSite(t)
	config := ggsfakesite.LargeConfig(2, "/talk/", largeRoutes)
	before, snapshots := l.Stats().BytesFromTarget, s.site.Store.ListCalls("op/")
	s.site.Store.Put("op/config", config)
	s.eventually("the change is in force at the edge with the slow link", func() bool { return s.served(1, "/talk/x") })
	received := l.Stats().BytesFromTarget - before
	once := uint64(len(config)) * 4 / 3
	s.c.Assert(received < once*3/2, qt.IsTrue, qt.Commentf("received %d bytes for an answer of %d bytes", received, once))
	s.c.Assert(s.site.Store.ListCalls("op/"), qt.Equals, snapshots)
}

// Guards against a VM that never becomes ready while the store is unavailable, because the
// answer of its seed peer takes longer than the call timeout.
func TestStartFromASeedOverASlowLink(t *testing.T) {
	t.Parallel()
	s := startSite(t, 1)
	s.site.Store.Put("op/config", ggsfakesite.LargeConfig(2, "/talk/", largeRoutes))
	s.eventually("the change is in force", func() bool { return s.served(0, "/talk/x") })
	s.site.Store.SetUnavailable(true)
	_, at := s.linkTo(t, s.edges[0].settings.Control)
	known := s.edges
	s.edges = nil
	s.startEdgeWith(t, 1, func(d *ggsdialect.Settings) { d.Seeds = []netip.AddrPort{at} })
	s.edges = append(known, s.edges...)
	s.eventually("the second edge is ready", func() bool { return s.ready(1) == http.StatusOK })
	s.c.Assert(s.call(1, http.MethodPost, "/pay/1", "", "{}").status, qt.Equals, http.StatusOK)
}

// Guards against a VM that falls further behind with each of several large configurations
// written in quick succession.
func TestLargeConfigurationsInSuccessionAreInForceOverASlowLink(t *testing.T) {
	t.Parallel()
	s, _ := startSlowLinkSite(t)
	pause := time.NewTicker(200 * time.Millisecond)
	defer pause.Stop()
	const last = 7
	for version := 2; version < last; version++ {
		s.site.Store.Put("op/config", ggsfakesite.LargeConfig(version, "/chat/", largeRoutes))
		<-pause.C
	}
	s.site.Store.Put("op/config", ggsfakesite.LargeConfig(last, "/talk/", largeRoutes))
	acked := time.Now()
	s.eventually("the last change is in force at the edge with the slow link", func() bool { return s.served(1, "/talk/x") })
	took := time.Since(acked)
	s.c.Assert(took < applyBound, qt.IsTrue, qt.Commentf("%s", took))
}
