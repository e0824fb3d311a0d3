package ggsengine

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsconn"
)

// Settings bound a client's calls, beside their contexts. All are to be
// positive.
type Settings struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// SilenceTimeout ends a run in which no byte came for so long. It covers
	// the time to the first byte as well.
	SilenceTimeout time.Duration
	// OrderTimeout bounds an order: a load takes as long as the weight store
	// needs.
	OrderTimeout time.Duration
	// ReportTimeout bounds the asking for a report.
	ReportTimeout time.Duration
	// IdleTimeout closes connections that were idle for so long.
	IdleTimeout time.Duration
	// MaxConns bounds the connections for runs to one endpoint.
	MaxConns int
}

// A Client calls endpoints. It is safe for concurrent use.
type Client struct {
	settings Settings
	// runs carries requests that may be repeated, once carries those that may
	// not, and control carries orders and reports, which thus never wait for
	// a connection that a run holds.
	runs    *http.Client
	once    *http.Client
	control *http.Client
}

var (
	_ ggscore.EngineCaller   = (*Client)(nil)
	_ ggscore.PlainCaller    = (*Client)(nil)
	_ ggscore.AdapterOrderer = (*Client)(nil)
	_ ggscore.RunnerReporter = (*Client)(nil)
)

// DefaultSettings returns bounds for endpoints in the same failure domain.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout:    time.Second,
		SilenceTimeout: time.Minute,
		OrderTimeout:   time.Minute,
		ReportTimeout:  2 * time.Second,
		IdleTimeout:    30 * time.Second,
		MaxConns:       256,
	}
}

// NewClient returns a client of all endpoints.
func NewClient(s Settings) *Client {
	o := ggsconn.DefaultOptions()
	o.DialTimeout = s.DialTimeout
	o.IdleTimeout = s.IdleTimeout
	control := o
	control.MaxConns = 0
	control.MaxIdle = controlIdle
	o.MaxConns = s.MaxConns
	once := o
	once.Fresh = true
	return &Client{
		settings: s,
		runs:     ggsconn.NewClient(ggsconn.NewTransport(o)),
		once:     ggsconn.NewClient(ggsconn.NewTransport(once)),
		control:  ggsconn.NewClient(ggsconn.NewTransport(control)),
	}
}

// Call implements ggscore.PlainCaller. Each status but 503 with the outcome
// notRun is an answer that is passed on.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, r *ggscore.Request, sink ggscore.ChunkSink) error {
	x := &exchange{
		addr:    addr,
		method:  r.Operation.Method,
		path:    r.Operation.Path,
		request: r,
		sink:    sink,
		plain:   true,
	}
	if x.method == "" {
		x.method = http.MethodPost
	}
	return c.exchange(ctx, x)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.runs.CloseIdleConnections()
	c.once.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Run implements ggscore.EngineCaller.
func (c *Client) Run(ctx context.Context, addr netip.AddrPort, r *ggscore.Request, sink ggscore.ChunkSink) error {
	return c.exchange(ctx, &exchange{
		addr:    addr,
		method:  http.MethodPost,
		path:    pathCompletions,
		request: r,
		sink:    sink,
	})
}

// carrier returns the client for a request. A reused connection may have been
// closed by the endpoint just before the request is written; the outcome would
// be unknown though the request never ran. A non-idempotent request can't be
// repeated then, so it gets a new connection, where this can't happen.
func (c *Client) carrier(r *ggscore.Request) *http.Client {
	if r.NonIdempotent {
		return c.once
	}
	return c.runs
}

// header sets the headers of a request.
func (x *exchange) header(h http.Header) {
	if len(x.request.Body) > 0 {
		h.Set("Content-Type", "application/json")
	}
	h.Set(headerRequestID, string(x.request.ID))
	h.Set(headerPriority, strconv.Itoa(int(x.request.Priority)))
	if x.plain && x.request.Key != "" {
		h.Set(headerKey, string(x.request.Key))
	}
}

// The paths and headers of endpoints.
const (
	pathCompletions = "/v1/chat/completions"
	pathLoad        = "/v1/loadLoraAdapter"
	pathUnload      = "/v1/unloadLoraAdapter"
	pathState       = "/v1/state"

	headerRequestID = "X-Request-Id"
	headerPriority  = "X-Priority"
	headerKey       = "Idempotency-Key"
	headerServed    = "X-Served-Model"
)

// controlIdle is the number of idle connections for orders and reports that
// are kept to one endpoint.
const controlIdle = 2
