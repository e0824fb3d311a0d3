package ggsconn

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ResetOnAbort returns a handler that resets the connection of an HTTP/1.0 request if h aborts the
// answer by panicking with http.ErrAbortHandler. Such an answer ends with its connection, which
// net/http closes in order, so that a truncated answer would be complete for the caller.
func ResetOnAbort(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) && !r.ProtoAtLeast(1, 1) {
				reset(w)
			}
			panic(v)
		}()
		h.ServeHTTP(w, r)
	})
}

// reset resets an answer's connection, if it still has one.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := TCPConn(c); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
