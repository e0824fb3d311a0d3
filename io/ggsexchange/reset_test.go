package ggsexchange_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"greengageslip/io/ggsexchange"
)

// Guards against orders that were given up and that the system sends again until they reach their endpoint.
func TestRequestThatIsGivenUpIsNotSentAgain(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		resets bool
		want   error
	}{"reset": {resets: true, want: syscall.ECONNRESET}, "closed in order": {want: nil}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = l.Close() }()
			arrived, ended := make(chan struct{}), make(chan error, 1)
			go func() {
				n, err := l.Accept()
				if err != nil {
					ended <- err
					return
				}
				defer func() { _ = n.Close() }()
				_, _ = n.Read(make([]byte, 1<<10))
				close(arrived)
				_, err = io.Copy(io.Discard, n)
				ended <- err
			}()
			p := ggsexchange.NewPool(ggsexchange.Options{ResetOnClose: tc.resets, Now: func() time.Time { return time.Unix(1, 0) }})
			defer p.Close()
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				<-arrived
				cancel()
			}()
			_, err = p.Do(ctx, ggsexchange.Request{
				Addr: netip.MustParseAddrPort(l.Addr().String()), Method: http.MethodPost, URI: "/", Host: "h", Body: []byte("{}"),
			})
			c.Assert(err, qt.IsNotNil)
			c.Assert(errors.Is(<-ended, tc.want), qt.IsTrue)
		})
	}
}
