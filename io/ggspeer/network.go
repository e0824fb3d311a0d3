package ggspeer

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
)

// The sizes of the buffers of an accepted connection. The system would let them grow to megabytes, which count as the VM's memory, for
// a client that sends what isn't read or doesn't read its answer.
const (
	// receiveBytes delays long bodies only. What the system has received counts as the process's memory, for each connection.
	receiveBytes = 8 << 10
	// sendBytes is no less than a segment on a loopback address, whose acknowledgement would be waited for otherwise.
	sendBytes = 64 << 10
)

// UnreadBytes is the memory that the system may take for what a client has sent on an accepted connection and isn't read yet. It
// doubles the size that is asked for.
const UnreadBytes = 2 * receiveBytes

// dialTimeout bounds the time to open a connection to a peer.
const dialTimeout = time.Second

// A Network reaches peers over TCP and UDP.
type Network struct{}

var _ ggscore.PeerNetwork = Network{}

// Dial implements ggscore.Dialer.
func (Network) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr.String())
}

// Listen implements ggscore.PeerNetwork.
func (Network) Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	l, err := (&net.ListenConfig{Control: limitBuffers}).Listen(ctx, "tcp", addr.String())
	return l, errors.Wrapf(err, "listening on %s", addr)
}

// limitBuffers limits the buffers of a listener's socket, which its connections inherit.
func limitBuffers(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		if err == nil {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBytes)
		}
	})
	return errors.CombineErrors(controlErr, err)
}

// ListenPacket implements ggscore.PeerNetwork.
func (Network) ListenPacket(ctx context.Context, addr netip.AddrPort) (ggscore.PacketConn, error) {
	p, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listening for datagrams on %s", addr)
	}
	u, ok := p.(*net.UDPConn)
	if !ok {
		_ = p.Close()
		return nil, &SocketError{Addr: addr}
	}
	return u, nil
}
