package ggscore

import (
	"context"
	"net"
	"net/netip"
)

// A Dialer opens connections to endpoints.
type Dialer interface {
	// Dial returns a connection to the endpoint at addr. After an error, nothing has reached the
	// endpoint.
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}
