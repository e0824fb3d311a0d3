package ggsexchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsconn"
	"greengageslip/io/ggsexchange"
)

const idHeader = "Request-Id"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rawEndpoint answers each request with the bytes that the answer function returns. An empty text
// closes the connection.
type rawEndpoint struct {
	addr  netip.AddrPort
	conns atomic.Int64
}

func serve(t *testing.T, answer func(n int, r *http.Request) string) *rawEndpoint {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &rawEndpoint{addr: netip.MustParseAddrPort(l.Addr().String())}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serveConn(ctx, n, answer)
		}
	}()
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		<-done
	})
	return s
}

func (s *rawEndpoint) serveConn(ctx context.Context, c net.Conn, answer func(int, *http.Request) string) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		b := answer(n, req)
		if b == "" {
			return
		}
		if _, err := io.WriteString(c, b); err != nil {
			return
		}
		if strings.Contains(b, "Connection: close") {
			return
		}
	}
}

func pool(t *testing.T) *ggsexchange.Pool {
	t.Helper()
	p := ggsexchange.NewPool(ggsexchange.Options{Now: func() time.Time { return time.Unix(1, 0) }})
	t.Cleanup(p.Close)
	return p
}

func get(p *ggsexchange.Pool, addr netip.AddrPort, id string) (string, error) {
	a, err := p.Do(context.Background(), ggsexchange.Request{
		Addr: addr, Method: http.MethodGet, URI: "/", Host: "h", ID: ggscore.RequestID(id), IDHeader: idHeader,
		Header: http.Header{idHeader: {id}},
	})
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

func okAnswer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + lengthOf(body) + "\r\n\r\n" + body
}

func lengthOf(s string) string { return string(rune('0' + len(s))) }

func TestConnectionIsReused(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := serve(t, func(_ int, r *http.Request) string { return okAnswer(r.Header.Get(idHeader), "ok") })
	p := pool(t)
	for _, id := range []string{"1", "2", "3"} {
		b, err := get(p, s.addr, id)
		c.Assert(err, qt.IsNil)
		c.Assert(b, qt.Equals, "ok")
	}
	c.Assert(s.conns.Load(), qt.Equals, int64(1))
	c.Assert(p.Dials(), qt.Equals, int64(1))
}

// Guards against delivering one caller's answer to another: an endpoint answers a request twice,
// and the next request on the connection reads the second answer.
func TestDuplicateAnswerIsNotDelivered(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]func(int, *http.Request) string{
		"immediately, with an ID": func(_ int, r *http.Request) string {
			w := okAnswer(r.Header.Get(idHeader), "mine")
			return w + w
		},
		"immediately, without an ID": func(_ int, r *http.Request) string {
			return okAnswer(r.Header.Get(idHeader), "mine") + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
		},
		"before the next answer": func(_ int, r *http.Request) string {
			w := okAnswer(r.Header.Get(idHeader), "mine")
			return okAnswer("stranger", "other") + w
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := serve(t, answer)
			p := pool(t)
			for _, id := range []string{"1", "2", "3"} {
				b, err := get(p, s.addr, id)
				c.Assert(err, qt.IsNil)
				c.Assert(b, qt.Equals, "mine")
			}
		})
	}
}

func TestOnlyMismatchedAnswersFail(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := serve(t, func(int, *http.Request) string { return strings.Repeat(okAnswer("stranger", "other"), 4) })
	_, err := get(pool(t), s.addr, "1")
	var mismatch *ggsexchange.MismatchedAnswersError
	c.Assert(errors.As(err, &mismatch), qt.IsTrue)
	c.Assert(mismatch.Got, qt.DeepEquals, []string{"stranger"})
}

// Guards against another answer to the connection's last request that is taken for the answer to this one.
func TestAnswerWithoutAnIDIsTakenFromANewConnectionOnly(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	anonymous := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 5\r\n\r\nother"
	s := serve(t, func(n int, r *http.Request) string {
		if n == 0 {
			return okAnswer(r.Header.Get(idHeader), "mine")
		}
		return anonymous + okAnswer(r.Header.Get(idHeader), "mine")
	})
	p := pool(t)
	_, err := get(p, s.addr, "1")
	c.Assert(err, qt.IsNil)
	_, err = get(p, s.addr, "2")
	var mismatch *ggsexchange.MismatchedAnswersError
	c.Assert(errors.As(err, &mismatch), qt.IsTrue)
	c.Assert(mismatch.Got, qt.HasLen, 0)
	var call *ggscore.CallError
	c.Assert(errors.As(err, &call), qt.IsTrue)
	c.Assert(call.NotSent, qt.IsFalse)

	s = serve(t, func(int, *http.Request) string { return anonymous })
	a, err := p.Do(context.Background(), ggsexchange.Request{
		Addr: s.addr, Method: http.MethodGet, URI: "/", Host: "h", ID: "3", IDHeader: idHeader,
	})
	c.Assert(err, qt.IsNil)
	defer a.Close()
	c.Assert(a.Identified, qt.IsFalse)
}

// Guards against an answer that counts as one request's although it names others too.
func TestAnswerIdentifiesItsRequestOnlyByItsIDAlone(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		ids  string
		want bool
	}{
		"once":       {ids: "Request-Id: 1\r\n", want: true},
		"repeated":   {ids: "Request-Id: 1\r\nRequest-Id: 1\r\n", want: true},
		"with empty": {ids: "Request-Id:\r\nRequest-Id: 1\r\n", want: true},
		"and others": {ids: "Request-Id: 1\r\nRequest-Id: 2\r\n"},
		"in a list":  {ids: "Request-Id: 1, 2\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := serve(t, func(int, *http.Request) string {
				return "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n" + tc.ids + "Content-Length: 0\r\n\r\n"
			})
			a, err := pool(t).Do(context.Background(), ggsexchange.Request{
				Addr: s.addr, Method: http.MethodGet, URI: "/", Host: "h", ID: "1", IDHeader: idHeader,
			})
			if !tc.want {
				c.Assert(err, qt.IsNotNil)
				return
			}
			c.Assert(err, qt.IsNil)
			defer a.Close()
			c.Assert(a.Identified, qt.IsTrue)
		})
	}
}

// Guards against bytes that are no answer of HTTP/1 and count as one, or as an informational one.
func TestInvalidStatusLines(t *testing.T) {
	t.Parallel()
	for name, line := range map[string]string{"HTTP/2": "HTTP/2.0 503 x", "HTTP/0": "HTTP/0.9 503 x", "status below 100": "HTTP/1.1 099 x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := serve(t, func(int, *http.Request) string { return line + "\r\nContent-Length: 0\r\n\r\n" + okAnswer("1", "mine") })
			_, err := pool(t).Do(context.Background(), ggsexchange.Request{
				Addr: s.addr, Method: http.MethodGet, URI: "/", Host: "h", ID: "1", IDHeader: idHeader,
			})
			var invalid *ggsconn.InvalidHeadError
			c.Assert(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// Guards against writing a request to a connection that the endpoint has closed. It would be
// unknown whether the request ran, so a request that isn't idempotent couldn't be retried.
func TestClosedConnectionIsNotReused(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := serve(t, func(n int, r *http.Request) string {
		if n == 1 {
			return ""
		}
		return okAnswer(r.Header.Get(idHeader), "ok")
	})
	p := pool(t)
	_, err := get(p, s.addr, "1")
	c.Assert(err, qt.IsNil)
	_, err = get(p, s.addr, "2")
	var call *ggscore.CallError
	c.Assert(errors.As(err, &call), qt.IsTrue)
	c.Assert(call.NotSent, qt.IsFalse, qt.Commentf("bytes were written, so the request may have run"))
	_, err = get(p, s.addr, "3")
	c.Assert(err, qt.IsNil)
	c.Assert(s.conns.Load(), qt.Equals, int64(2))
}

// Guards against a request that is sent while the endpoint closes the connection: the endpoint
// announces in the Keep-Alive header that it closes idle connections after 2 s.
func TestKeepAliveIsHonoured(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := serve(t, func(_ int, r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\nRequest-Id: " + r.Header.Get(idHeader) + "\r\n\r\n"
	})
	var now atomic.Int64
	p := ggsexchange.NewPool(ggsexchange.Options{Now: func() time.Time { return time.Unix(0, now.Load()) }})
	defer p.Close()
	for _, pass := range []time.Duration{0, time.Second, 2 * time.Second} {
		now.Add(int64(pass))
		_, err := get(p, s.addr, pass.String())
		c.Assert(err, qt.IsNil)
	}
	c.Assert(p.Dials(), qt.Equals, int64(2))
}

func TestIncompleteAnswerFails(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]string{
		"shorter than its length": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\nhalf",
		"without its last chunk":  "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"endless head":            "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 80<<10),
		"not HTTP":                "gibberish\r\n\r\nConnection: close",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, func(int, *http.Request) string { return answer })
			_, err := get(pool(t), s.addr, "1")
			qt.New(t).Assert(err, qt.IsNotNil)
		})
	}
}

func TestRefusedDialReportsNotSent(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := netip.MustParseAddrPort(l.Addr().String())
	c.Assert(l.Close(), qt.IsNil)
	_, err = get(pool(t), addr, "1")
	var call *ggscore.CallError
	c.Assert(errors.As(err, &call), qt.IsTrue)
	c.Assert(call.NotSent, qt.IsTrue)
}

func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := serve(t, func(_ int, r *http.Request) string { return okAnswer(r.Header.Get(idHeader), "ok") })
	p := pool(t)
	r := ggsexchange.Request{Addr: s.addr, Method: http.MethodGet, URI: "/", Host: "h", MaxConns: 1}
	a, err := p.Do(context.Background(), r)
	c.Assert(err, qt.IsNil)
	_, err = p.Do(context.Background(), r)
	var limit *ggsexchange.ConnLimitError
	c.Assert(errors.As(err, &limit), qt.IsTrue)
	a.Close()
}

// Guards against wasted work at an endpoint: a caller cancels while its request runs, and the
// endpoint can only detect this by the closed connection.
func TestCancelClosesConnection(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	closed := make(chan struct{})
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	go func() {
		defer close(closed)
		n, err := l.Accept()
		if err != nil {
			return
		}
		cancel()
		_, _ = io.Copy(io.Discard, n)
		_ = n.Close()
	}()
	_, err = pool(t).Do(ctx, ggsexchange.Request{
		Addr: netip.MustParseAddrPort(l.Addr().String()), Method: http.MethodGet, URI: "/", Host: "h",
	})
	var call *ggscore.CallError
	c.Assert(errors.As(err, &call), qt.IsTrue)
	<-closed
}

// Guards against an answer that is read only once a long request has been written, which its endpoint may never read.
//
//nolint:paralleltest // long requests would stall the tests of time limits
func TestAnswerIsReadBesideALongRequest(t *testing.T) {
	const long = 32 << 20
	for name, tc := range map[string]struct {
		// reads is set if the endpoint reads on once it has answered.
		reads bool
	}{
		"endpoint reads on later": {reads: true},
		"endpoint never reads":    {},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				n, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = n.Close() }()
				r := bufio.NewReader(n)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(n, okAnswer("1", "mine"))
				if tc.reads {
					_, _ = io.Copy(io.Discard, r)
					return
				}
				<-ctx.Done()
			}()
			p := pool(t)
			a, err := p.Do(ctx, ggsexchange.Request{
				Addr: netip.MustParseAddrPort(l.Addr().String()), Method: http.MethodPost, URI: "/", Host: "h", ID: "1", IDHeader: idHeader,
				Body: make([]byte, long),
			})
			c.Assert(err, qt.IsNil)
			b, err := io.ReadAll(a.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(string(b), qt.Equals, "mine")
			a.Close()
			cancel()
			_ = l.Close()
			<-closed
		})
	}
}

// Guards against another answer to a request's first send that is taken for the answer to its second one.
func TestConnectionCarriesARequestOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	refused := "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n"
	s := serve(t, func(n int, r *http.Request) string {
		if n == 0 {
			return refused
		}
		return refused + okAnswer(r.Header.Get(idHeader), "ok")
	})
	p := pool(t)
	for range 3 {
		_, err := get(p, s.addr, "1")
		c.Assert(err, qt.IsNil)
	}
	c.Assert(s.conns.Load(), qt.Equals, int64(3))
	b, err := get(p, s.addr, "2")
	c.Assert(err, qt.IsNil)
	c.Assert(b, qt.Equals, "ok")
	c.Assert(s.conns.Load(), qt.Equals, int64(3))
}
