package ggsconn

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Options configures a transport.
type Options struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// MaxConns bounds the connections to one address. A request that exceeds the bound waits until
	// a connection is free or its context ends. Zero means no bound.
	MaxConns int
	// MaxIdle bounds the idle connections to one address.
	MaxIdle int
	// DisableReuse opens a new connection for each request.
	DisableReuse bool
}

// DefaultOptions returns the options for calls to one external system.
func DefaultOptions() Options {
	return Options{
		DialTimeout: time.Second,
		IdleTimeout: 30 * time.Second,
		MaxConns:    64,
		MaxIdle:     16,
	}
}

// NewTransport returns a transport whose connections record their writes. It uses no proxy and
// requests no compression. It uses only HTTP/1.1, so that a connection carries one request at a
// time.
func NewTransport(o Options) *http.Transport {
	d := &net.Dialer{Timeout: o.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: DetectReset(c)}, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      o.DisableReuse,
		IdleConnTimeout:        o.IdleTimeout,
		MaxConnsPerHost:        o.MaxConns,
		MaxIdleConnsPerHost:    o.MaxIdle,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// maxHeaderBytes bounds the size of an answer's header.
const maxHeaderBytes = 64 << 10

// NewClient returns a client that uses the transport. The client fails on answers with invalid heads, and doesn't follow
// redirects, because they would send a request to an address that the caller didn't choose.
func NewClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport: strictTransport{t},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
