package ggsengine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsconn"
)

// Load implements ggscore.AdapterLoader.
func (c *Client) Load(ctx context.Context, addr netip.AddrPort, a ggscore.AdapterRef, f ggscore.FencingToken) error {
	return c.order(ctx, addr, pathLoad, a, f)
}

// Report implements ggscore.RunnerReporter.
func (c *Client) Report(ctx context.Context, addr netip.AddrPort) (ggscore.RunnerReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ReportTimeout)
	defer cancel()
	w, err := c.report(ctx, addr)
	if err != nil {
		return ggscore.RunnerReport{}, &ggscore.CallError{Addr: addr, Kind: ggscore.FailureEndpoint, Cause: err}
	}
	r, err := reportOf(w)
	if err != nil {
		return ggscore.RunnerReport{}, &ggscore.CallError{Addr: addr, Kind: ggscore.FailureEndpoint, Cause: err}
	}
	return r, nil
}

// Unload implements ggscore.AdapterLoader.
func (c *Client) Unload(ctx context.Context, addr netip.AddrPort, a ggscore.AdapterRef, f ggscore.FencingToken) error {
	return c.order(ctx, addr, pathUnload, a, f)
}

// order sends an order once.
func (c *Client) order(
	ctx context.Context, addr netip.AddrPort, path string, a ggscore.AdapterRef, f ggscore.FencingToken,
) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.OrderTimeout)
	defer cancel()
	tracked, flight := ggsconn.Track(ctx)
	body, err := json.Marshal(orderWire{Adapter: a.String(), Fence: uint64(f)})
	if err != nil {
		return &ggscore.OrderRefusedError{Addr: addr, Detail: err.Error()}
	}
	req, err := http.NewRequestWithContext(tracked, http.MethodPost, "http://"+addr.String()+path, ggsconn.Body(body))
	if err != nil {
		return &ggscore.OrderRefusedError{Addr: addr, Detail: err.Error()}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.control.Do(req)
	if err != nil {
		if flight.NothingWritten() {
			return &ggscore.OrderRefusedError{Addr: addr, Detail: "order was not sent: " + err.Error()}
		}
		return &ggscore.AmbiguousOrderError{Addr: addr, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return orderResult(resp, addr, f)
}

// orderResult returns the error for the answer to an order. A server error is definite
// only if its body has the endpoint's error kind. Without a kind, it may come from an
// intermediary that answers 502 or 504 while the order is in progress.
func orderResult(resp *http.Response, addr netip.AddrPort, f ggscore.FencingToken) error {
	s := resp.StatusCode
	w := errorOf(readError(resp.Body))
	cause := &StatusError{Status: s, Detail: w.Error.Detail}
	switch {
	case s == http.StatusOK:
		return nil
	case s == http.StatusConflict && w.Error.Kind == kindFenced:
		return &ggscore.FencedError{Have: f, Seen: ggscore.FencingToken(w.Error.Seen)}
	case s < http.StatusBadRequest, s >= http.StatusInternalServerError && w.Error.Kind == "":
		return &ggscore.AmbiguousOrderError{Addr: addr, Cause: cause}
	}
	return &ggscore.OrderRefusedError{Addr: addr, Status: s, Detail: w.Error.Detail}
}

// report requests the runner's state.
func (c *Client) report(ctx context.Context, addr netip.AddrPort) (reportWire, error) {
	var w reportWire
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+pathState, http.NoBody)
	if err != nil {
		return w, err
	}
	resp, err := c.control.Do(req)
	if err != nil {
		return w, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return w, &StatusError{Status: resp.StatusCode}
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return w, err
	}
	err = json.Unmarshal(b, &w)
	return w, err
}

const maxReportBytes = 4 << 20
