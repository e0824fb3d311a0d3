package ggsconn

import (
	"context"
	"net/http"
	"time"
)

// InterruptReads lets reads of a request's body fail once the context has ended. The caller must call the returned function after
// the last read. The connection can't be used for another request if the context ended before.
func InterruptReads(ctx context.Context, w http.ResponseWriter) (stop func() bool) {
	c := http.NewResponseController(w)
	return context.AfterFunc(ctx, func() {
		// Without support for deadlines, as in tests without a connection, the read goes on.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	})
}
