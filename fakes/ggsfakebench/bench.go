// Package ggsfakebench holds helpers for tests of the test doubles and of their clients: a
// manual clock, servers that are closed at the end of the test, and a context that limits the
// duration of the test.
//
// # Usage
//
//	k := ggsfakebench.NewClock()
//	p := ggsfakebench.NewPlatform(k.Now)
//	s := ggsfakebench.Serve(t, p.Handler())
//	client := ggsplatform.NewClient(ggsfakebench.AddrOf(t, s))
//	k.Advance(9 * time.Second) // leases expire
//	err := client.Renew(ggsfakebench.Context(t), lease)
//
// The package does not depend on the clients in io: their own tests create them.
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

// testTimeout limits the duration of a test, and thus of every wait for an event.
const testTimeout = 20 * time.Second

// AddrOf returns the address of a server.
func AddrOf(t testing.TB, s *httptest.Server) netip.AddrPort {
	t.Helper()
	a, err := netip.ParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatalf("parse the address of a test server: %v", err)
	}
	return a
}

// Context returns a context that is cancelled at the end of the test, after at most 20 s.
func Context(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// NewPlatform returns a simulated platform without rate limits. Its clock is now, or the
// system clock if now is nil.
func NewPlatform(now func() time.Time) *ggsfakeplatform.Platform {
	o := ggsfakeplatform.DefaultOptions()
	if now != nil {
		o.Now = now
	}
	o.WritesPerSecond, o.ReadsPerSecond = 0, 0
	return ggsfakeplatform.New(o)
}

// Serve starts a server on the loopback interface. The server and its connections are closed
// at the end of the test.
func Serve(t testing.TB, h http.Handler) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}
