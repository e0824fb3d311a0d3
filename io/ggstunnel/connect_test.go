package ggstunnel

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
)

// Guards against an endpoint's unasked bytes, behind which a tunnel's frames would be read from the wrong place.
func TestBytesBeforeTheRequestCloseTheTunnel(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	vm, peer := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		b := make([]byte, connectBufferBytes)
		_, _ = peer.Read(b)
		_, _ = io.WriteString(peer, "HTTP/1.1 200 OK\r\n"+headerFraming+": "+framingLength+"\r\n\r\n\x00\x03abc")
	}()
	_, err := connect(context.Background(), vm, ggscore.VMID("peer"), netip.MustParseAddrPort("127.0.0.1:1"))
	var early *EarlyBytesError
	c.Assert(errors.As(err, &early), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(early.Bytes, qt.Equals, 5)
	<-done
}
