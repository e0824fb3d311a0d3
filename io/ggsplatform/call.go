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

// A call holds the parameters of one HTTP request to the platform's service.
type call struct {
	method string
	path   string
	query  url.Values
	// in is the value of the JSON body, nil for no body.
	in any
	// write is set if the call may change the store.
	write bool
	// wait is added to the timeout until the first byte of the answer.
	wait  time.Duration
	key   ggscore.Key
	prev  ggscore.StoreRevision
	lease ggscore.LeaseID
}

// maxAnswerBytes is the maximum size of an answer. A list of large values is the largest
// answer.
const maxAnswerBytes = 64 << 20

// do sends the request once, without retries, and decodes the answer into out unless out is
// nil.
func (c *Client) do(ctx context.Context, cl call, out any) error {
	ctx, watchdog := ggsconn.NewWatchdog(ctx, c.settings.CallTimeout+cl.wait, c.settings.CallTimeout)
	defer watchdog.Stop()
	ctx, tracker := ggsconn.Track(ctx)
	req, err := c.request(ctx, cl)
	if err != nil {
		return errors.Wrap(err, "build request to platform service")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		err = watchdog.Explain(err)
		if tracker.NothingWritten() {
			return &ggscore.StoreUnavailableError{Cause: err}
		}
		return cl.lostAnswer(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readAll(watchdog.Reader(resp.Body))
	if resp.StatusCode != http.StatusOK {
		return cl.statusError(resp.StatusCode, body)
	}
	if err != nil {
		return cl.lostAnswer(watchdog.Explain(err))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return cl.lostAnswer(err)
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

// lostAnswer returns the error for a call whose answer wasn't received completely.
func (cl call) lostAnswer(cause error) error {
	if cl.write {
		return &ggscore.AmbiguousWriteError{Key: cl.key, Cause: cause}
	}
	return &ggscore.StoreUnavailableError{Cause: cause}
}

// statusError returns the error for an answer with a status other than 200. Only statuses
// that the service sends before any effect are definite. Intermediate gateways may send
// other statuses after the call took effect, so these are ambiguous for a write.
func (cl call) statusError(status int, body []byte) error {
	var w errorWire
	// A body that can't be decoded leaves the details empty. The status decides the type.
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
	return cl.lostAnswer(&StatusError{Status: status})
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
