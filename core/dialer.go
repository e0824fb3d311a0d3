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
	// Tunneled reports whether the connection goes through another VM.
	Tunneled() bool
	// ShowsEnd reports whether io.EOF shows that the endpoint has closed the connection. Otherwise
	// another VM may have ended.
	ShowsEnd() bool
	// Usable reports whether an idle connection is to be used for another request.
	Usable() bool
}
