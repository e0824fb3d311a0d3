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

// Settings bound a client's calls in addition to their contexts. All values must be
// positive.
type Settings struct {
	// DialTimeout bounds the establishing of a connection.
	DialTimeout time.Duration
	// ReadIdleTimeout is the time without a received byte after which a run ends.
	// It also bounds the time to the first byte.
	ReadIdleTimeout time.Duration
	// OrderTimeout bounds an order. The duration of a load depends on the weight
	// store.
	OrderTimeout time.Duration
	// ReportTimeout bounds the request for a report.
	ReportTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// MaxConns bounds the connections to one endpoint that are used for runs.
	MaxConns int
}

// A Client calls endpoints. It is safe for concurrent use.
type Client struct {
	settings Settings
	// reusing sends idempotent requests over reused connections. fresh sends each
	// non-idempotent request over a new connection. control sends orders and
	// report requests, so that these never wait for a connection used by a run.
	reusing *http.Client
	fresh   *http.Client
	control *http.Client
}

var (
	_ ggscore.EngineCaller   = (*Client)(nil)
	_ ggscore.PlainCaller    = (*Client)(nil)
	_ ggscore.AdapterLoader  = (*Client)(nil)
	_ ggscore.RunnerReporter = (*Client)(nil)
)

// DefaultSettings returns settings for endpoints in the same failure domain.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout:     time.Second,
		ReadIdleTimeout: time.Minute,
		OrderTimeout:    time.Minute,
		ReportTimeout:   2 * time.Second,
		IdleTimeout:     30 * time.Second,
		MaxConns:        256,
	}
}

// NewClient returns a client that can call any endpoint.
func NewClient(s Settings) *Client {
	o := ggsconn.DefaultOptions()
	o.DialTimeout = s.DialTimeout
	o.IdleTimeout = s.IdleTimeout
	control := o
	control.MaxConns = 0
	control.MaxIdle = maxIdleControlConns
	o.MaxConns = s.MaxConns
	fresh := o
	fresh.DisableReuse = true
	return &Client{
		settings: s,
		reusing:  ggsconn.NewClient(ggsconn.NewTransport(o)),
		fresh:    ggsconn.NewClient(ggsconn.NewTransport(fresh)),
		control:  ggsconn.NewClient(ggsconn.NewTransport(control)),
	}
}

// Call implements ggscore.PlainCaller. Answers with any status except 408, 421, 429 and 503 are
// forwarded to the sink. For these, Call returns a CallError, with NotSent set if the outcome is
// notRun.
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
	c.reusing.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
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

// clientFor returns the HTTP client for a request. The endpoint may close a reused
// connection just before a request is written to it. The outcome of the request would
// then be unknown although it never ran. A non-idempotent request can't be repeated in
// that case and therefore gets a new connection, where this can't happen.
func (c *Client) clientFor(r *ggscore.Request) *http.Client {
	if r.NonIdempotent {
		return c.fresh
	}
	return c.reusing
}

// header sets the headers of the exchange's request.
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

// Paths and headers of the endpoints' API.
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

// maxIdleControlConns bounds the idle connections to one endpoint that are kept for
// orders and reports.
const maxIdleControlConns = 2
