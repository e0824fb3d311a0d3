package ggsconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A sink is a connection that keeps what is written to it.
type sink struct {
	net.Conn
	written []byte
}

// Write implements net.Conn.
func (s *sink) Write(p []byte) (int, error) {
	s.written = append(s.written, p...)
	return len(p), nil
}

// A caller leaves when its request has a connection and isn't written yet. It
// is told that the request has not run and sends it elsewhere. Then net/http's
// writing goroutine, which nobody told, gets to run and sends it here as well:
// it runs twice. The connection must refuse the late write.
func TestLateWriteIsRefused(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &sink{}
	n := &conn{Conn: s}
	f := &Flight{}
	f.gotConn(httptrace.GotConnInfo{Conn: n})
	c.Assert(f.NothingWritten(), qt.IsTrue)

	_, err := n.Write([]byte("POST"))
	var sealed *SealedError
	c.Assert(err, qt.ErrorAs, &sealed)
	c.Assert(s.written, qt.HasLen, 0)
}

// A connection carries one request after another: what an earlier one wrote
// must not count for a later one, and what any of a request's connections
// wrote must count.
func TestWritesCountForTheirRequest(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	n := &conn{Conn: &sink{}}
	first := &Flight{}
	first.gotConn(httptrace.GotConnInfo{Conn: n})
	_, err := n.Write([]byte("POST"))
	c.Assert(err, qt.IsNil)

	second := &Flight{}
	second.gotConn(httptrace.GotConnInfo{Conn: n, Reused: true})
	c.Assert(second.NothingWritten(), qt.IsTrue)

	third := &Flight{}
	for range 2 {
		other := &conn{Conn: &sink{}}
		third.gotConn(httptrace.GotConnInfo{Conn: other})
		if len(third.conns) == 1 {
			_, err := other.Write([]byte("P"))
			c.Assert(err, qt.IsNil)
		}
	}
	c.Assert(third.NothingWritten(), qt.IsFalse)

	foreign := &Flight{}
	foreign.gotConn(httptrace.GotConnInfo{Conn: &sink{}})
	c.Assert(foreign.NothingWritten(), qt.IsFalse)
}

func TestNothingWrittenOverHTTP(t *testing.T) {
	t.Parallel()
	hangUp := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for name, tc := range map[string]struct {
		listens bool
		want    bool
	}{
		"nobody listens": {listens: false, want: true},
		"peer hangs up":  {listens: true, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := httptest.NewServer(http.HandlerFunc(hangUp))
			defer s.Close()
			if !tc.listens {
				s.Close()
			}
			cl := NewClient(NewTransport(DefaultOptions()))
			defer cl.CloseIdleConnections()
			ctx, f := Track(context.Background())
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL, Body([]byte("body")))
			c.Assert(err, qt.IsNil)
			resp, err := cl.Do(req)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			c.Assert(err, qt.IsNotNil)
			c.Assert(f.NothingWritten(), qt.Equals, tc.want)
		})
	}
}
