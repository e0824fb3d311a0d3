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
	"greengageslip/core/ggsanswer"
	"greengageslip/io/ggsconn"
)

// An exchange is one request to an endpoint and its answer.
type exchange struct {
	addr    netip.AddrPort
	method  string
	path    string
	request *ggscore.Request
	sink    ggscore.ChunkSink
	// plain is set if the endpoint is a plain service.
	plain bool
}

// exchange sends the request once and forwards its answer to the sink.
func (c *Client) exchange(ctx context.Context, x *exchange) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(c.settings.ReadIdleTimeout, func() { cancel(&IdleTimeoutError{}) })
	defer idleTimer.Stop()
	tracked, flight := ggsconn.Track(ctx)
	req, err := x.newRequest(tracked)
	if err != nil {
		return &ggscore.CallError{Addr: x.addr, NotSent: true, Kind: ggscore.FailureInternal, Cause: err}
	}
	resp, err := c.clientFor(x.request).Do(req)
	if err != nil {
		return x.callError(ctx, flight.NothingWritten(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := x.checkRequestID(resp); err != nil {
		return x.callError(ctx, false, err)
	}
	if err := x.refusal(resp); err != nil {
		return err
	}
	body := &activityReader{r: resp.Body, onRead: func() { idleTimer.Reset(c.settings.ReadIdleTimeout) }}
	if err := x.forward(resp, body); err != nil {
		return x.callError(ctx, false, err)
	}
	drain(body, cancel)
	return nil
}

// callError returns the CallError for an exchange that failed with err.
func (x *exchange) callError(ctx context.Context, notSent bool, err error) error {
	kind := ggscore.FailureBroken
	if notSent {
		kind = ggscore.FailureEndpoint
	}
	if cause := context.Cause(ctx); cause != nil {
		var idleErr *IdleTimeoutError
		if !errors.As(cause, &idleErr) {
			kind = ggscore.FailureCancelled
		}
		err = errors.CombineErrors(cause, err)
	}
	var sinkErr *SinkError
	if errors.As(err, &sinkErr) {
		kind = ggscore.FailureCancelled
	}
	return &ggscore.CallError{Addr: x.addr, NotSent: notSent, Kind: kind, Cause: err}
}

// checkRequestID returns an error for an answer that names another request. If an
// endpoint answers a request twice, or answers late on a reused connection, the answer
// would otherwise be taken for the answer to the next request. A caller would get another
// caller's text, or a request that runs would be reported as not run. net/http discards
// unexpected answers only while the connection is idle.
func (x *exchange) checkRequestID(resp *http.Response) error {
	for _, got := range resp.Header.Values(headerRequestID) {
		if got != "" && got != string(x.request.ID) {
			return &RequestIDMismatchError{Want: x.request.ID, Got: ggscore.RequestID(got)}
		}
	}
	return nil
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

// forward passes the answer's chunks to the sink.
func (x *exchange) forward(resp *http.Response, body io.Reader) error {
	p := &forwarder{
		sink: x.sink,
		first: ggscore.Chunk{
			Status:      resp.StatusCode,
			ContentType: resp.Header.Get("Content-Type"),
			Served:      servedHeader(resp),
		},
		model: !x.plain,
	}
	if !x.plain && isStream(resp) {
		return p.forwardStream(body)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return p.forwardUnframed(body)
	}
	return p.forwardBody(body)
}

// refusal returns nil if the answer is forwarded to the caller, else the error that it
// stands for. A status alone doesn't prove that the request didn't run. Only the kind or
// the outcome in the endpoint's error body does, in an answer that names the request
// and has no content encoding.
func (x *exchange) refusal(resp *http.Response) error {
	s := resp.StatusCode
	if x.forwards(s) {
		return nil
	}
	w := errorOf(readError(resp.Body))
	err := &ggscore.CallError{
		Addr:  x.addr,
		Kind:  ggscore.FailureEndpoint,
		Cause: &StatusError{Status: s, Detail: w.Error.Detail},
	}
	switch {
	case resp.Header.Get(headerRequestID) == "", len(resp.Header.Values("Content-Encoding")) > 0:
	case !x.plain && s == http.StatusNotFound && w.Error.Kind == kindAdapterNotLoaded:
		err.NotSent = true
		err.Kind = ggscore.FailureAdapterMissing
	case ggsanswer.Promises(s) && w.Error.Outcome == outcomeNotRun:
		err.NotSent = true
	}
	return err
}

// forwards reports whether an answer with the status is forwarded to the caller. A status
// that promises that the request has not run never is. Other answers of plain services are
// forwarded with any status, and those of engines if they report success or an error in the
// caller's request, which is any 4xx status except 404.
func (x *exchange) forwards(status int) bool {
	if ggsanswer.Promises(status) {
		return false
	}
	if x.plain {
		return true
	}
	if status == http.StatusNotFound {
		return false
	}
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	clientError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return success || clientError
}

// drain reads the rest of the body of a complete answer, so that the connection can be
// reused. The run's slot stays taken until drain returns, so the wait for an endpoint
// that doesn't end the body is short.
func drain(body io.Reader, cancel context.CancelCauseFunc) {
	t := time.AfterFunc(drainTimeout, func() { cancel(nil) })
	defer t.Stop()
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
}

func isStream(resp *http.Response) bool {
	t, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && t == "text/event-stream"
}

// readError reads the body of an error answer. It returns nil if the body is truncated,
// since a truncated body proves nothing.
func readError(r io.Reader) []byte {
	b, err := io.ReadAll(io.LimitReader(r, maxErrorBytes))
	if err != nil {
		return nil
	}
	return b
}

// servedHeader returns the adapter that the header X-Served-Model names, or the zero
// reference if there is none.
func servedHeader(resp *http.Response) ggscore.AdapterRef {
	a, err := ggscore.ParseAdapterRef(resp.Header.Get(headerServed))
	if err != nil {
		return ggscore.AdapterRef{}
	}
	return a
}

const (
	// maxErrorBytes bounds what is read of an error answer's body.
	maxErrorBytes = 64 << 10
	// maxDrainBytes and drainTimeout bound what is read after the end of an answer.
	maxDrainBytes = 4 << 10
	drainTimeout  = 50 * time.Millisecond
)
