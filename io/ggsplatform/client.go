package ggsplatform

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsconn"
)

// Settings holds the limits of a client's calls, in addition to the calls' contexts. All
// values must be positive.
type Settings struct {
	// CallTimeout bounds the time to the first byte of an answer, and the time between
	// received bytes. For Watch, the requested wait is added to the first of these.
	CallTimeout time.Duration
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// MaxConns is the maximum number of connections, and so of concurrent calls.
	MaxConns int
}

// A Client calls the platform's service. It is safe for concurrent use.
type Client struct {
	base     string
	settings Settings
	http     *http.Client
}

var (
	_ ggscore.Store    = (*Client)(nil)
	_ ggscore.VMLister = (*Client)(nil)
)

// DefaultSettings returns the settings that NewClient uses.
func DefaultSettings() Settings {
	return Settings{
		CallTimeout: 3 * time.Second,
		DialTimeout: time.Second,
		MaxConns:    64,
	}
}

// NewClient returns a client of the service at an address, with the default settings.
func NewClient(addr netip.AddrPort) *Client {
	return NewClientWithSettings(addr, DefaultSettings())
}

// NewClientWithSettings returns a client of the service at an address.
func NewClientWithSettings(addr netip.AddrPort, s Settings) *Client {
	o := ggsconn.DefaultOptions()
	o.DialTimeout = s.DialTimeout
	o.MaxConns = s.MaxConns
	o.MaxIdle = s.MaxConns
	return &Client{
		base:     "http://" + addr.String(),
		settings: s,
		http:     ggsconn.NewClient(ggsconn.NewTransport(o)),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Delete implements ggscore.Writer.
func (c *Client) Delete(ctx context.Context, k ggscore.Key, prev ggscore.StoreRevision) error {
	in := deleteWire{Key: string(k), Prev: uint64(prev)}
	return c.do(ctx, call{method: http.MethodDelete, path: pathKV, in: in, key: k, prev: prev, write: true}, nil)
}

// Get implements ggscore.Reader.
func (c *Client) Get(ctx context.Context, k ggscore.Key) (ggscore.Entry, error) {
	q := url.Values{"key": {string(k)}}
	var w entryWire
	err := c.do(ctx, call{method: http.MethodGet, path: pathKV, query: q, key: k}, &w)
	if err != nil {
		return ggscore.Entry{}, err
	}
	return entryOf(w), nil
}

// Grant implements ggscore.Leaser.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (ggscore.LeaseID, error) {
	var w leaseWire
	in := grantWire{TTL: ttl.String()}
	err := c.do(ctx, call{method: http.MethodPost, path: pathLeases, in: in, write: true}, &w)
	return ggscore.LeaseID(w.Lease), err
}

// List implements ggscore.Reader.
func (c *Client) List(ctx context.Context, prefix ggscore.Key) ([]ggscore.Entry, error) {
	q := url.Values{"prefix": {string(prefix)}}
	var w entriesWire
	err := c.do(ctx, call{method: http.MethodGet, path: pathList, query: q, key: prefix}, &w)
	if err != nil {
		return nil, err
	}
	return entriesOf(w.Entries), nil
}

// ListVMs implements ggscore.VMLister.
func (c *Client) ListVMs(ctx context.Context) ([]ggscore.VM, error) {
	var w vmsWire
	err := c.do(ctx, call{method: http.MethodGet, path: pathVMs}, &w)
	if err != nil {
		return nil, err
	}
	vs := make([]ggscore.VM, 0, len(w.VMs))
	var skipped []error
	for _, b := range w.VMs {
		v, err := decodeVM(b)
		if err != nil {
			skipped = append(skipped, err)
			continue
		}
		vs = append(vs, v)
	}
	if len(skipped) > 0 {
		return vs, &ggscore.PartialListError{Skipped: skipped}
	}
	return vs, nil
}

// Put implements ggscore.Writer.
func (c *Client) Put(
	ctx context.Context, k ggscore.Key, value []byte, prev ggscore.StoreRevision, l ggscore.LeaseID,
) (ggscore.StoreRevision, error) {
	in := putWire{Key: string(k), Value: value, Prev: uint64(prev), Lease: uint64(l)}
	var w revisionWire
	cl := call{method: http.MethodPut, path: pathKV, in: in, key: k, prev: prev, lease: l, write: true}
	err := c.do(ctx, cl, &w)
	return ggscore.StoreRevision(w.Revision), err
}

// Renew implements ggscore.Leaser.
func (c *Client) Renew(ctx context.Context, l ggscore.LeaseID) error {
	return c.do(ctx, call{method: http.MethodPut, path: leasePath(l), lease: l, write: true}, nil)
}

// Revoke implements ggscore.Leaser.
func (c *Client) Revoke(ctx context.Context, l ggscore.LeaseID) error {
	return c.do(ctx, call{method: http.MethodDelete, path: leasePath(l), lease: l, write: true}, nil)
}

// Watch implements ggscore.Watcher.
func (c *Client) Watch(
	ctx context.Context, prefix ggscore.Key, after ggscore.StoreRevision, wait time.Duration,
) ([]ggscore.Entry, ggscore.StoreRevision, error) {
	q := url.Values{
		"prefix": {string(prefix)},
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"wait":   {wait.String()},
	}
	var w entriesWire
	err := c.do(ctx, call{method: http.MethodGet, path: pathWatch, query: q, key: prefix, wait: wait}, &w)
	if err != nil {
		return nil, 0, err
	}
	return entriesOf(w.Entries), ggscore.StoreRevision(w.Revision), nil
}

// The HTTP paths of the service.
const (
	pathKV     = "/v1/kv"
	pathList   = "/v1/list"
	pathLeases = "/v1/leases"
	pathWatch  = "/v1/watch"
	pathVMs    = "/v1/vms"
)

func leasePath(l ggscore.LeaseID) string {
	return pathLeases + "/" + strconv.FormatUint(uint64(l), 10)
}
