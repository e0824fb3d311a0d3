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

// An EndpointConn is a connection to an endpoint that may go through another VM.
type EndpointConn interface {
	net.Conn
	// Tunneled reports whether the connection goes through another VM. The end of its bytes
	// doesn't show that the endpoint has closed it: the other VM may have ended.
	Tunneled() bool
	// Usable reports whether an idle connection is to be used for another request.
	Usable() bool
}
