package ggsplatform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsconn"
)

// A call is one call of the service.
type call struct {
	method string
	path   string
	query  url.Values
	// in is the body's wire form, nil for none.
	in any
	// write says that the call changes something.
	write bool
	wait  time.Duration
	key   ggscore.Key
	prev  ggscore.StoreRevision
	lease ggscore.LeaseID
}

// maxAnswerBytes bounds an answer: a list of large values is the longest.
const maxAnswerBytes = 256 << 20

// do makes the call once and decodes its answer into out, if out isn't nil.
func (c *Client) do(ctx context.Context, cl call, out any) error {
	ctx, dog := ggsconn.NewWatchdog(ctx, c.settings.CallTimeout+cl.wait, c.settings.CallTimeout)
	defer dog.Stop()
	ctx, flight := ggsconn.Track(ctx)
	req, err := c.request(ctx, cl)
	if err != nil {
		return errors.Wrap(err, "make platform request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		err = dog.Explain(err)
		if flight.NothingWritten() {
			return &ggscore.StoreUnavailableError{Cause: err}
		}
		return cl.lost(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readAll(dog.Reader(resp.Body))
	if resp.StatusCode != http.StatusOK {
		return cl.refused(resp.StatusCode, body)
	}
	if err != nil {
		return cl.lost(dog.Explain(err))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return cl.lost(err)
	}
	return nil
}

func (c *Client) request(ctx context.Context, cl call) (*http.Request, error) {
	u := c.base + cl.path
	if len(cl.query) > 0 {
		u += "?" + cl.query.Encode()
	}
	if cl.in == nil {
		return http.NewRequestWithContext(ctx, cl.method, u, http.NoBody)
	}
	b, err := json.Marshal(cl.in)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, cl.method, u, ggsconn.Body(b))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(b))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// lost returns the error for a call whose answer didn't arrive whole.
func (cl call) lost(cause error) error {
	if cl.write {
		return &ggscore.AmbiguousWriteError{Key: cl.key, Cause: cause}
	}
	return &ggscore.StoreUnavailableError{Cause: cause}
}

// refused returns the error for an answer with another status than 200. Only
// statuses that the service sends before any effect are definite; gateways on
// the way may send others after one.
func (cl call) refused(status int, body []byte) error {
	var w errorWire
	// A body that can't be read leaves the details empty; the status decides.
	_ = json.Unmarshal(body, &w)
	switch status {
	case http.StatusServiceUnavailable:
		return &ggscore.StoreUnavailableError{Cause: &StatusError{Status: status}}
	case http.StatusTooManyRequests:
		return &ggscore.StoreBusyError{}
	case http.StatusConflict:
		return &ggscore.ConflictError{Key: cl.key, Want: cl.prev, Have: ggscore.StoreRevision(w.Error.Revision)}
	case http.StatusGone:
		return &ggscore.LeaseExpiredError{Lease: cl.lease}
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		return &RefusedError{Status: status, Detail: w.Error.Detail}
	}
	return cl.lost(&StatusError{Status: status})
}

func readAll(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes+1))
	if err != nil {
		return b, err
	}
	if len(b) > maxAnswerBytes {
		return nil, &OversizeError{LimitBytes: maxAnswerBytes}
	}
	return b, nil
}
