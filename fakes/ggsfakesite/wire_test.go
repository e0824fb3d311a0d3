package ggsfakesite_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
)

// TestWire reads from the wire what an endpoint sends for two requests on one connection, the first
// of them with a fault.
func TestWire(t *testing.T) {
	t.Parallel()
	const (
		first  = "HTTP/1.1 200 OK\r\nContent-Length: 17\r\nRequest-Id: 1\r\nServer-Stamp: stamp-of-p\r\n\r\nanswer to 1 by p\n"
		second = "answer to 2 by p\n"
	)
	for name, tc := range map[string]struct {
		fault ggsfakesite.Fault
		// begin is what arrives for the first request, between what arrives before the second answer.
		begin, between string
	}{
		"informational": {fault: ggsfakesite.FaultInformational, begin: "HTTP/1.1 103 Early Hints\r\nLink: </hint>\r\n\r\n" + first},
		"pieces":        {fault: ggsfakesite.FaultPieces, begin: first},
		"stray bytes":   {fault: ggsfakesite.FaultStrayBytes, begin: first + "stray\r\n\r\n"},
		"second answer": {fault: ggsfakesite.FaultSecondAnswer, begin: first + first},
		"late answer":   {fault: ggsfakesite.FaultLateAnswer, begin: first, between: first},
		"not HTTP":      {fault: ggsfakesite.FaultNotHTTP, begin: "no answer\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := ggsfakesite.NewEndpoint(ggsfakesite.EndpointOptions{ID: "p", Service: "plain", Now: func() time.Time { return time.Unix(1, 0) }})
			e.SetFault(func(q ggsfakesite.Query) ggsfakesite.Fault {
				if q.Number == 1 {
					return tc.fault
				}
				return ggsfakesite.FaultNone
			})
			s := httptest.NewServer(e)
			t.Cleanup(s.Close)
			n, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			t.Cleanup(func() { _ = n.Close() })
			r := bufio.NewReader(n)
			ask := func(id string) {
				_, err := io.WriteString(n, "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: "+id+"\r\n\r\n")
				c.Assert(err, qt.IsNil)
			}
			read := func(want string) {
				b := make([]byte, len(want))
				_, err := io.ReadFull(r, b)
				c.Assert(err, qt.IsNil)
				c.Assert(string(b), qt.Equals, want)
			}
			ask("1")
			read(tc.begin)
			ask("2")
			read(tc.between)
			a, err := http.ReadResponse(r, nil)
			c.Assert(err, qt.IsNil)
			b, err := io.ReadAll(a.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(string(b), qt.Equals, second)
			c.Assert(e.Runs(), qt.DeepEquals, map[string]int{"1": 1, "2": 1})
		})
	}
}
