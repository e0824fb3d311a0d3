package ggsengine

import (
	"context"
	"io"
	"mime"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsconn"
)

// An exchange is one request and its answer.
type exchange struct {
	addr    netip.AddrPort
	method  string
	path    string
	request *ggscore.Request
	sink    ggscore.ChunkSink
	// plain says that the endpoint is a plain service.
	plain bool
}

// exchange makes the request once and passes its answer on.
func (c *Client) exchange(ctx context.Context, x *exchange) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(c.settings.SilenceTimeout, func() { cancel(&SilenceError{}) })
	defer silence.Stop()
	tracked, flight := ggsconn.Track(ctx)
	req, err := x.newRequest(tracked)
	if err != nil {
		return &ggscore.CallError{Addr: x.addr, NotSent: true, Kind: ggscore.FailureInternal, Cause: err}
	}
	resp, err := c.carrier(x.request).Do(req)
	if err != nil {
		return x.failed(ctx, flight.NothingWritten(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := x.foreign(resp); err != nil {
		return x.failed(ctx, false, err)
	}
	if err := x.refused(resp); err != nil {
		return err
	}
	body := &heardReader{r: resp.Body, heard: func() { silence.Reset(c.settings.SilenceTimeout) }}
	if err := x.pass(resp, body); err != nil {
		return x.failed(ctx, false, err)
	}
	drain(body, cancel)
	return nil
}

// failed returns the error for an exchange that ended early.
func (x *exchange) failed(ctx context.Context, notSent bool, err error) error {
	kind := ggscore.FailureBroken
	if notSent {
		kind = ggscore.FailureEndpoint
	}
	if cause := context.Cause(ctx); cause != nil {
		var silent *SilenceError
		if !errors.As(cause, &silent) {
			kind = ggscore.FailureCancelled
		}
		err = errors.CombineErrors(cause, err)
	}
	var sunk *SinkError
	if errors.As(err, &sunk) {
		kind = ggscore.FailureCancelled
	}
	return &ggscore.CallError{Addr: x.addr, NotSent: notSent, Kind: kind, Cause: err}
}

// foreign returns an error for an answer that names another request. An
// endpoint that answers a request twice, or late on a connection that it uses
// again, would otherwise give one caller's text to the next, or "not run" of
// one request for another that runs. net/http drops surplus answers only while
// the connection is idle.
func (x *exchange) foreign(resp *http.Response) error {
	got := resp.Header.Get(headerRequestID)
	if got == "" || got == string(x.request.ID) {
		return nil
	}
	return &ForeignAnswerError{Want: x.request.ID, Got: ggscore.RequestID(got)}
}

func (x *exchange) newRequest(ctx context.Context) (*http.Request, error) {
	url := "http://" + x.addr.String() + x.path
	body := ggsconn.Body(x.request.Body)
	req, err := http.NewRequestWithContext(ctx, x.method, url, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(x.request.Body))
	x.header(req.Header)
	return req, nil
}

// pass hands the answer's pieces to the sink.
func (x *exchange) pass(resp *http.Response, body io.Reader) error {
	p := &passer{
		sink: x.sink,
		first: ggscore.Chunk{
			Status:      resp.StatusCode,
			ContentType: resp.Header.Get("Content-Type"),
			Served:      servedHeader(resp),
		},
		model: !x.plain,
	}
	if !x.plain && isStream(resp) {
		return p.passStream(body)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return &UnframedError{}
	}
	return p.passBody(body)
}

// refused returns the error for an answer that isn't to be passed on, nil for
// one that is. A status alone proves nothing of a run: only the endpoint's own
// words for it do.
func (x *exchange) refused(resp *http.Response) error {
	s := resp.StatusCode
	if x.passes(s) {
		return nil
	}
	w := errorOf(readError(resp.Body))
	err := &ggscore.CallError{
		Addr:  x.addr,
		Kind:  ggscore.FailureEndpoint,
		Cause: &StatusError{Status: s, Detail: w.Error.Detail},
	}
	switch {
	case !x.plain && s == http.StatusNotFound && w.Error.Kind == kindAdapterNotLoaded:
		err.NotSent = true
		err.Kind = ggscore.FailureAdapterMissing
	case s == http.StatusServiceUnavailable && w.Error.Outcome == outcomeNotRun:
		err.NotSent = true
	}
	return err
}

// passes reports whether an answer with the status goes to the caller. What a
// plain service says is its callers' business; of an engine, callers see
// answers and what is wrong with their own requests.
func (x *exchange) passes(status int) bool {
	if x.plain {
		return status != http.StatusServiceUnavailable
	}
	switch status {
	case http.StatusNotFound, http.StatusTooManyRequests:
		return false
	}
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	wrong := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return success || wrong
}

// drain reads the rest of an answer whose proper end was seen, so that its
// connection can be used again. An endpoint that sends no end of the body must
// not keep the run's slot, so the wait is short.
func drain(body io.Reader, cancel context.CancelCauseFunc) {
	t := time.AfterFunc(drainTimeout, func() { cancel(nil) })
	defer t.Stop()
	_, _ = io.CopyN(io.Discard, body, drainBytes)
}

func isStream(resp *http.Response) bool {
	t, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && t == "text/event-stream"
}

// readError reads an error answer. One that is cut is no proof and reads as
// empty.
func readError(r io.Reader) []byte {
	b, err := io.ReadAll(io.LimitReader(r, errorBytes))
	if err != nil {
		return nil
	}
	return b
}

func servedHeader(resp *http.Response) ggscore.AdapterRef {
	a, err := ggscore.ParseAdapterRef(resp.Header.Get(headerServed))
	if err != nil {
		return ggscore.AdapterRef{}
	}
	return a
}

const (
	// errorBytes bounds an error answer.
	errorBytes = 64 << 10
	// drainBytes and drainTimeout bound what is read after an answer's end.
	drainBytes   = 4 << 10
	drainTimeout = 50 * time.Millisecond
)
