package ggsfakeweights

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"

	ggscore "greengageslip/core"
)

// A Client fetches weights from a store over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the store at the address.
func NewClient(addr netip.AddrPort) *Client {
	return &Client{base: "http://" + addr.String(), http: &http.Client{Transport: &http.Transport{}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Fetch returns when the store has completed the load of an adapter. It returns a StatusError
// if the load fails.
func (c *Client) Fetch(ctx context.Context, a ggscore.AdapterRef) error {
	u := c.base + pathWeights + "?" + url.Values{queryAdapter: {a.String()}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode}
	}
	return nil
}
