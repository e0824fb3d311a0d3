package ggsexchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengageslip/io/ggsexchange"
)

// serveCut answers each request with the first bytes of a text, as many as the request's path says, and closes.
func serveCut(t *testing.T, text string, reset bool) netip.AddrPort {
	t.Helper()
	c := qt.New(t)
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(n))
			c.Check(err, qt.IsNil)
			cut, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
			c.Check(err, qt.IsNil)
			_, _ = io.WriteString(n, text[:cut])
			if tcp, ok := n.(*net.TCPConn); ok && reset {
				_ = tcp.SetLinger(0)
			}
			_ = n.Close()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// Guards against an answer whose head is cut at any byte and that is taken for one with an empty or short body.
func TestAnswerWhoseHeadIsCutIsNone(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 120\r\n\r\n",
		"length last": "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\n",
		"chunked":     "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no framing":  "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Type: text/event-stream\r\n\r\n",
		"no body":     "HTTP/1.1 204 No Content\r\nRequest-Id: 1\r\n\r\n",
		"line feeds":  "HTTP/1.1 200 OK\nRequest-Id: 1\nContent-Length: 120\n\n",
		"interim":     "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n",
		"HTTP/1.0":    "HTTP/1.0 200 OK\r\nRequest-Id: 1\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", reset"}[reset], func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				p, addr := pool(t), serveCut(t, head, reset)
				for cut := range len(head) {
					a, err := p.Do(context.Background(), ggsexchange.Request{
						Addr: addr, Method: http.MethodGet, URI: "/" + strconv.Itoa(cut), Host: "h", ID: "1", IDHeader: idHeader,
					})
					c.Check(err, qt.IsNotNil, qt.Commentf("%q", head[:cut]))
					if err == nil {
						a.Close()
					}
				}
			})
		}
	}
}
