package ggstunnel

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A closingEndpoint answers the first bytes of a request and closes its side. It may reset the connection when more bytes come.
type closingEndpoint struct {
	net.Conn
	resets  bool
	asked   chan struct{}
	once    sync.Once
	sent    bool
	ended   atomic.Bool
	written atomic.Int64
}

// Read implements net.Conn.
func (e *closingEndpoint) Read(p []byte) (int, error) {
	<-e.asked
	if e.sent {
		e.ended.Store(true)
		return 0, io.EOF
	}
	e.sent = true
	return copy(p, "part"), nil
}

// Write implements net.Conn.
func (e *closingEndpoint) Write(p []byte) (int, error) {
	if e.ended.Load() && e.resets {
		return 0, syscall.ECONNRESET
	}
	e.once.Do(func() { close(e.asked) })
	e.written.Add(int64(len(p)))
	return len(p), nil
}

// Close implements net.Conn.
func (e *closingEndpoint) Close() error { return nil }

// Guards against a peer that reports an orderly end of an endpoint that resets the connection between two writes of an upload.
func TestResetUnderAnUploadIsNoEndOfATunnel(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		resets bool
		want   error
	}{
		"reset":                 {resets: true, want: io.ErrUnexpectedEOF},
		"the upload is read on": {want: nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := &closingEndpoint{resets: tc.resets, asked: make(chan struct{})}
			peer, vm := net.Pipe()
			n := &tunnel{vm: peer, endpoint: e, frames: newFrameWriter(peer)}
			done := make(chan struct{})
			go func() {
				defer close(done)
				n.forward(time.Now) //nolint:forbidigo // the pipe's clock
			}()
			go func() {
				for {
					if _, err := vm.Write([]byte("upload")); err != nil {
						return
					}
				}
			}()
			b, err := io.ReadAll(&framedConn{Conn: vm})
			c.Check(string(b), qt.Equals, "part")
			c.Check(err, qt.Equals, tc.want)
			_ = vm.Close()
			<-done
		})
	}
}
