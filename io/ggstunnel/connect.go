package ggstunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsconn"
)

// connect asks the peer at the other end of c to join the connection to one to addr, and returns the
// tunnel. Peers of an earlier version don't know frames.
func connect(ctx context.Context, c net.Conn, vm ggscore.VMID, addr netip.AddrPort) (net.Conn, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	host := addr.String()
	if _, err := io.WriteString(c, "CONNECT "+host+" HTTP/1.1\r\nHost: "+host+"\r\n"+headerFraming+": "+framingLength+"\r\n"+headerNotices+": "+noticeStop+"\r\n\r\n"); err != nil {
		return nil, err
	}
	r := bufio.NewReaderSize(io.LimitReader(c, maxConnectBytes), connectBufferBytes)
	a, err := http.ReadResponse(r, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, &NoAnswerError{VM: vm, Addr: addr, Cause: err}
	}
	_ = a.Body.Close()
	if err := ggsconn.CheckHead(a); err != nil {
		return nil, &NoAnswerError{VM: vm, Addr: addr, Cause: err}
	}
	if a.StatusCode != http.StatusOK {
		return nil, &RefusedError{VM: vm, Addr: addr, Status: a.StatusCode}
	}
	if n := r.Buffered(); n > 0 {
		// An endpoint that sends before it has received a request answers nothing.
		return nil, &NoAnswerError{VM: vm, Addr: addr, Cause: &EarlyBytesError{Bytes: n}}
	}
	if a.Header.Get(headerFraming) == framingLength {
		return &framedConn{Conn: c}, nil
	}
	return c, nil
}

const (
	// connectBufferBytes fits the head of a peer's answer to CONNECT.
	connectBufferBytes = 512
	// maxConnectBytes bounds that head. Another process may have the peer's address.
	maxConnectBytes = 4 << 10
)

// unreachable reports whether a peer answered that it failed to connect to the endpoint.
func unreachable(err error) bool {
	var r *RefusedError
	return errors.As(err, &r) && r.Status == http.StatusBadGateway
}

// peerFailed reports whether a peer was reached, but not through it the endpoint.
func peerFailed(err error) bool {
	var n *NoAnswerError
	return unreachable(err) || errors.As(err, &n)
}
