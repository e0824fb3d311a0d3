package ggsconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"greengageslip/io/ggsconn"
)

// Guards against a truncated answer that an HTTP/1.0 caller takes for complete.
func TestAbortedAnswerIsIncompleteForHTTP10(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		abort bool
		want  error
	}{
		"whole":   {},
		"aborted": {abort: true, want: syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			received := make(chan struct{})
			s := httptest.NewServer(ggsconn.ResetOnAbort(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "part")
				c.Check(http.NewResponseController(w).Flush(), qt.IsNil)
				// A reset discards what the caller hasn't read.
				<-received
				if tc.abort {
					panic(http.ErrAbortHandler)
				}
			})))
			t.Cleanup(s.Close)
			n, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			t.Cleanup(func() { _ = n.Close() })
			_, err = io.WriteString(n, "GET / HTTP/1.0\r\n\r\n")
			c.Assert(err, qt.IsNil)
			b := make([]byte, 1)
			for tail := ""; tail != "part"; {
				_, err := n.Read(b)
				c.Assert(err, qt.IsNil)
				tail = (tail + string(b))[max(len(tail)-3, 0):]
			}
			close(received)
			_, err = io.ReadAll(n)
			if tc.want == nil {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(errors.Is(err, tc.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
