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

// A sink is a connection that records what is written to it.
type sink struct {
	net.Conn
	written []byte
}

// Write implements net.Conn.
func (s *sink) Write(p []byte) (int, error) {
	s.written = append(s.written, p...)
	return len(p), nil
}

// Guards against a request that runs twice: its caller cancels before the first write, learns that
// the request has not run, and sends it elsewhere. Then the write goroutine of net/http, which
// wasn't stopped, writes the request to its connection. The connection must reject this write.
func TestWriteAfterSealFails(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &sink{}
	n := &conn{Conn: s}
	f := &RequestTracker{}
	f.gotConn(httptrace.GotConnInfo{Conn: n})
	c.Assert(f.NothingWritten(), qt.IsTrue)

	_, err := n.Write([]byte("POST"))
	var sealed *SealedError
	c.Assert(err, qt.ErrorAs, &sealed)
	c.Assert(s.written, qt.HasLen, 0)
}

// Guards against attributing writes to the wrong request: a connection is reused by later requests,
// and a request may use several connections.
func TestWritesAreRecordedPerRequest(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	n := &conn{Conn: &sink{}}
	first := &RequestTracker{}
	first.gotConn(httptrace.GotConnInfo{Conn: n})
	_, err := n.Write([]byte("POST"))
	c.Assert(err, qt.IsNil)

	second := &RequestTracker{}
	second.gotConn(httptrace.GotConnInfo{Conn: n, Reused: true})
	c.Assert(second.NothingWritten(), qt.IsTrue)

	third := &RequestTracker{}
	for range 2 {
		other := &conn{Conn: &sink{}}
		third.gotConn(httptrace.GotConnInfo{Conn: other})
		if len(third.conns) == 1 {
			_, err := other.Write([]byte("P"))
			c.Assert(err, qt.IsNil)
		}
	}
	c.Assert(third.NothingWritten(), qt.IsFalse)

	untracked := &RequestTracker{}
	untracked.gotConn(httptrace.GotConnInfo{Conn: &sink{}})
	c.Assert(untracked.NothingWritten(), qt.IsFalse)
}

func TestNothingWrittenOverHTTP(t *testing.T) {
	t.Parallel()
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for name, tc := range map[string]struct {
		listens bool
		want    bool
	}{
		"connection refused": {listens: false, want: true},
		"connection aborted": {listens: true, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := httptest.NewServer(http.HandlerFunc(abort))
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
