// Package ggsfakebench has what tests of stand-ins and of their clients share:
// a clock that the test moves, servers that end with the test, and a context
// that bounds it.
//
// # Usage
//
//	k := ggsfakebench.NewClock()
//	p := ggsfakebench.NewPlatform(k.Now)
//	s := ggsfakebench.Serve(t, p.Handler())
//	client := ggsplatform.NewClient(ggsfakebench.AddrOf(t, s))
//	k.Advance(9 * time.Second) // leases lapse
//	err := client.Renew(ggsfakebench.Context(t), lease)
//
// The package knows no client: those of io are made by their own tests.
package ggsfakebench

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"greengageslip/fakes/ggsfakeplatform"
)

// testTime bounds a test, and with it every wait for an event.
const testTime = 20 * time.Second

// AddrOf returns a server's address.
func AddrOf(t testing.TB, s *httptest.Server) netip.AddrPort {
	t.Helper()
	a, err := netip.ParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatalf("address of a test server: %v", err)
	}
	return a
}

// Context returns a context that ends with the test, after 20 s at the latest.
func Context(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTime)
	t.Cleanup(cancel)
	return ctx
}

// NewPlatform returns a platform's stand-in without limits of rate. Its clock
// is the machine's where now is nil.
func NewPlatform(now func() time.Time) *ggsfakeplatform.Platform {
	o := ggsfakeplatform.DefaultOptions()
	if now != nil {
		o.Now = now
	}
	o.WritesPerSecond, o.ReadsPerSecond = 0, 0
	return ggsfakeplatform.New(o)
}

// Serve starts a server on loopback that ends with the test, with its
// connections.
func Serve(t testing.TB, h http.Handler) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}
