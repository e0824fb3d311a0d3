package ggsconn

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Options bound a transport.
type Options struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// IdleTimeout closes connections that were idle for so long.
	IdleTimeout time.Duration
	// MaxConns bounds the connections to one address. A request beyond it
	// waits under its context. Zero means no bound.
	MaxConns int
	// MaxIdle bounds the idle connections kept to one address.
	MaxIdle int
	// Fresh gives each request a connection of its own.
	Fresh bool
}

// DefaultOptions returns the bounds for one outside system.
func DefaultOptions() Options {
	return Options{
		DialTimeout: time.Second,
		IdleTimeout: 30 * time.Second,
		MaxConns:    64,
		MaxIdle:     16,
	}
}

// NewTransport returns a transport whose connections note their writes. It
// uses no proxy, asks for no compression and speaks HTTP/1.1 only, so that a
// connection carries one request at a time.
func NewTransport(o Options) *http.Transport {
	d := &net.Dialer{Timeout: o.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      o.Fresh,
		IdleConnTimeout:        o.IdleTimeout,
		MaxConnsPerHost:        o.MaxConns,
		MaxIdleConnsPerHost:    o.MaxIdle,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// maxHeaderBytes bounds the headers of an answer.
const maxHeaderBytes = 64 << 10

// NewClient returns a client on the transport that never follows a redirect: a
// request would leave for an address that nobody chose.
func NewClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
