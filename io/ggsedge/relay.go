package ggsedge

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsanswer"
	"greengageslip/core/ggsevent"
	"greengageslip/core/ggsretry"
	"greengageslip/io/ggsexchange"
	"greengageslip/io/ggslog"
)

// maxBufferedBytes is the length up to which an answer that isn't streamed is read completely before
// its head is sent. If such an answer is truncated, another endpoint's answer
// can still be sent instead.
const maxBufferedBytes = 64 << 10

// failureBodyTime bounds the wait for the body of an endpoint's failure, and refusalBodyTime that for the body of
// its refusal, which is read only so that the connection can be reused. Their heads decide what to do.
const (
	failureBodyTime = 250 * time.Millisecond
	refusalBodyTime = 50 * time.Millisecond
)

// chunkBytes is the read size, in bytes, for longer answers and streams.
const chunkBytes = 8 << 10

// forwardAnswer forwards an answer. The failure is nil if the caller has received the answer.
func (e *Edge) forwardAnswer(ctx context.Context, j *job, i ggscore.Instance, a *ggsexchange.Answer) (*ggscore.Failure, ggsretry.Result) {
	m := e.Dialect.Answer(a.Status, a.Header)
	v, err := ggsanswer.Judge(ggsanswer.Answer{
		Status: a.Status, Identified: a.Identified, Signed: m.Signed, StatedNotRun: m.StatedNotRun,
		Encoded: len(a.Header.Values("Content-Encoding")) > 0,
	})
	refused := err == nil && v == ggsanswer.NotRun
	e.observeAnswer(j, i, m, refused)
	if a.Reused() {
		e.crashes.EndpointAnsweredOver(i.ID, e.Now().Add(-a.ConnAge()), j.sentAt)
	}
	if refused {
		return e.refusedByEndpoint(j, i, a, m), refusalResult(j, m)
	}
	j.runs++
	if err != nil {
		return e.brokenAnswer(j, i, a, err), invalidResult(m)
	}
	success := a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
	if a.Status >= http.StatusInternalServerError && a.Length <= maxBufferedBytes {
		defer abortAfter(a, failureBodyTime)()
	}
	if a.Status >= http.StatusInternalServerError && j.route.Idempotent() && j.runs < j.route.MaxAttempts {
		if f := e.keepFailure(ctx, j, i, a); f != nil {
			return f, ggsretry.ResultFailed
		}
	}
	j.position = ggsevent.Position{}
	j.events = success && isEventStream(j.route.Kind, a.Header)
	if success && j.route.Kind == ggscore.RouteStreaming || j.events || a.Length > maxBufferedBytes {
		err = e.forwardStream(ctx, j, i, a)
	} else {
		err = e.forwardBuffered(ctx, j, i, a)
	}
	if err != nil {
		j.callerLeft = j.callerLeft || callerLeft(ctx)
		e.recordCrash(j, &i, err)
		return e.brokenAnswer(j, i, a, err), brokenResult(err)
	}
	if success {
		e.recordAnsweredParts(j)
		e.crashes.Answered(ggscore.SuspectRequest(j.fingerprint))
		if j.claimed != "" {
			e.crashes.Release(j.claimed)
		}
	}
	e.recordStream(j)
	j.stop.Whole()
	if j.callerLeft {
		return nil, resultOf(a.Status)
	}
	e.stats.Answered.Add(1)
	e.metrics.observeAnswer(j.route.Kind, e.since(j.arrived))
	_ = level.Info(e.Log).Log("event", ggslog.EventRequestEnded, "request", j.meta.ID, "endpoint", i.ID, "status", a.Status,
		"sends", j.sends, "first", j.firstChunkAfter, "target", j.route.Target, "gap", j.maxGap, "gapAim", j.route.TargetGap,
		"framing", a.Framing, "tunneled", a.Tunneled(), "reused", a.Reused(), "insideEvent", j.position.InsideEvent(), "took", e.since(j.arrived))
	return nil, resultOf(a.Status)
}

// abortAfter closes an answer's connection after a time, unless the returned function is called before.
func abortAfter(a *ggsexchange.Answer, d time.Duration) (stop func()) {
	t := time.AfterFunc(d, a.Abort)
	return func() { t.Stop() }
}

// resultOf returns what an answer says about its endpoint.
func resultOf(status int) ggsretry.Result {
	if status >= http.StatusInternalServerError {
		return ggsretry.ResultFailed
	}
	return ggsretry.ResultOK
}

// refusalResult returns what a refusal says about its endpoint. An endpoint that serves no models refuses a request as
// misdirected only if it isn't the one that its entry names.
func refusalResult(j *job, m ggscore.AnswerMeta) ggsretry.Result {
	if m.Misdirected && j.spec.Engine == nil {
		return ggsretry.ResultAbsent
	}
	return ggsretry.ResultNeutral
}

// invalidResult returns what an answer that can't be forwarded says about its endpoint. Another process may have
// answered in its place.
func invalidResult(m ggscore.AnswerMeta) ggsretry.Result {
	if m.Misdirected {
		return ggsretry.ResultNeutral
	}
	return ggsretry.ResultFailed
}

// brokenResult returns what an answer that broke off says about its endpoint.
func brokenResult(err error) ggsretry.Result {
	var caller *CallerError
	if errors.As(err, &caller) {
		return ggsretry.ResultNeutral
	}
	return ggsretry.ResultFailed
}

// A keptFailure is an endpoint's failure answer that is forwarded if no other endpoint gives a
// better answer.
type keptFailure struct {
	answer *ggsexchange.Answer
	body   []byte
}

// keepFailure keeps an endpoint's failure answer as the fallback if the request is sent to another
// endpoint, and returns the failure for that retry. It returns nil if the request isn't retried, or
// if the body is longer than maxBufferedBytes. A truncated answer isn't kept.
func (e *Edge) keepFailure(ctx context.Context, j *job, i ggscore.Instance, a *ggsexchange.Answer) *ggscore.Failure {
	if a.Length > maxBufferedBytes {
		return nil
	}
	b, bodyErr := peekBody(a)
	f := &ggscore.Failure{Kind: ggscore.FailureEndpoint, Detail: "endpoint answered with status " + strconv.Itoa(a.Status)}
	if len(b) > maxBufferedBytes || !e.retry(ctx, j, f) {
		return nil
	}
	_ = level.Info(e.Log).Log("event", ggslog.EventAttemptFailed, "request", j.meta.ID, "endpoint", i.ID,
		"outcome", ggscore.OutcomeDone, "err", f.Detail)
	j.retryGranted = true
	if bodyErr != nil {
		// A truncated failure answer can't be forwarded. Only another endpoint's answer can
		// replace it.
		return e.brokenAnswer(j, i, a, bodyErr)
	}
	j.fallback = &keptFailure{answer: a, body: b}
	return f
}

// peekBody reads up to maxBufferedBytes+1 bytes of an answer's body. A shorter body was read to its
// end. Reading a.Body returns the same bytes or error again, and then the rest.
func peekBody(a *ggsexchange.Answer) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedBytes+1))
	rest := a.Body
	if err != nil {
		rest = failedReader{err}
	}
	a.Body = io.MultiReader(bytes.NewReader(b), rest)
	return b, err
}

// A failedReader is a reader whose source has failed.
type failedReader struct{ err error }

// Read implements io.Reader.
func (r failedReader) Read([]byte) (int, error) { return 0, r.err }

// forwardKept forwards the failure answer that was kept.
func (e *Edge) forwardKept(j *job) {
	k := j.fallback
	_ = level.Info(e.Log).Log("event", ggslog.EventRequestEnded, "request", j.meta.ID, "status", k.answer.Status,
		"why", "no other endpoint gave a better answer", "sends", j.sends, "runs", j.runs, "took", e.since(j.arrived))
	e.stats.Answered.Add(1)
	e.writeHead(j, k.answer, int64(len(k.body)))
	// A write error means that the caller has left; nothing remains to be done.
	_, _ = j.w.Write(k.body)
}

// refusedByEndpoint returns the failure for an endpoint's answer that it did not run the
// request.
func (e *Edge) refusedByEndpoint(j *job, i ggscore.Instance, a *ggsexchange.Answer, m ggscore.AnswerMeta) *ggscore.Failure {
	// The rest of the body is read so that the connection can be reused.
	defer abortAfter(a, refusalBodyTime)()
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxBufferedBytes))
	if a.Status == http.StatusServiceUnavailable {
		j.rejected = true
	}
	_ = level.Info(e.Log).Log("event", ggslog.EventEndpointRefused, "request", j.meta.ID, "endpoint", i.ID, "status", a.Status,
		"adapter", j.meta.Model, "version", j.version, "retryAfter", m.RetryAfter,
		"addr", i.Addr, "try", j.sends, "statedNotRun", m.StatedNotRun, "answerID", m.Request, "signed", m.Signed, "reused", a.Reused(), "tunneled", a.Tunneled(),
		"shedLimited", j.choice.ShedLimited, "inFlight", j.choice.InFlight, "reportAge", j.choice.ReportAge)
	return &ggscore.Failure{
		Kind: ggscore.FailureNoCapacity, Outcome: ggscore.OutcomeNotRun,
		Detail: "endpoint refused the request with status " + strconv.Itoa(a.Status),
	}
}

// brokenAnswer returns the failure for an answer that is truncated or invalid.
func (e *Edge) brokenAnswer(j *job, i ggscore.Instance, a *ggsexchange.Answer, err error) *ggscore.Failure {
	_ = level.Info(e.Log).Log("event", ggslog.EventAnswerBroken, "request", j.meta.ID, "endpoint", i.ID, "begun", j.committed,
		"status", a.Status,
		"fingerprint", j.fingerprint, "sharedParts", j.sharedParts(), "callerLeft", j.callerLeft,
		"framing", a.Framing, "tunneled", a.Tunneled(), "reused", a.Reused(), "insideEvent", j.position.InsideEvent(), "err", err)
	return &ggscore.Failure{Kind: ggscore.FailureBroken, Detail: err.Error()}
}

// forwardBuffered forwards an answer after reading it completely. An answer of unknown length that
// exceeds maxBufferedBytes is forwarded as its chunks arrive. A failure that does is a *LongFailureError, since
// it may have no end.
func (e *Edge) forwardBuffered(ctx context.Context, j *job, i ggscore.Instance, a *ggsexchange.Answer) error {
	b, err := peekBody(a)
	if err != nil {
		return errors.Wrap(err, "reading the endpoint's answer")
	}
	if len(b) > maxBufferedBytes {
		if a.Status >= http.StatusInternalServerError {
			return &LongFailureError{Status: a.Status, Limit: maxBufferedBytes}
		}
		return e.forwardStream(ctx, j, i, a)
	}
	if j.callerLeft = callerLeft(ctx); j.callerLeft {
		return nil
	}
	e.writeHead(j, a, int64(len(b)))
	// A write error means that the caller has left; nothing remains to be done.
	_, _ = j.w.Write(b)
	return nil
}

// forwardStream forwards an answer chunk by chunk as the chunks arrive.
func (e *Edge) forwardStream(ctx context.Context, j *job, i ggscore.Instance, a *ggsexchange.Answer) error {
	length := a.Length
	if j.events {
		// At its full length, a truncated stream would be complete for the caller.
		length = -1
	}
	b := make([]byte, chunkBytes)
	for {
		n, err := a.Body.Read(b)
		if n > 0 {
			if !e.confirmOrigin(ctx, j, i) {
				return &ProcessError{Endpoint: i.ID}
			}
			e.forwardChunk(j, i, a, b[:n], length)
		}
		if errors.Is(err, io.EOF) {
			if err := checkEnd(j, a); err != nil {
				return err
			}
			if !j.committed {
				e.writeHead(j, a, length)
			}
			return nil
		}
		if err != nil {
			return streamError(ctx, j, err)
		}
	}
}

// forwardChunk forwards a chunk of a stream.
func (e *Edge) forwardChunk(j *job, i ggscore.Instance, a *ggsexchange.Answer, b []byte, length int64) {
	e.recordChunk(j)
	if j.events {
		j.position.Advance(b)
	}
	e.beginStream(j, i, a, length)
	if !e.begins(j) {
		e.recordAnsweredParts(j)
	}
	if !j.callerLeft && writeChunk(j.w, b) != nil {
		// The endpoint may still crash under the request.
		j.callerLeft = true
		a.Abandon()
	}
}

// streamError returns the error for a stream of which no more could be read: a *CallerError if the VM closed
// the connection because the caller had left.
func streamError(ctx context.Context, j *job, err error) error {
	if errors.Is(err, net.ErrClosed) && (j.callerLeft || callerLeft(ctx)) {
		return &CallerError{Err: err}
	}
	if cause := context.Cause(ctx); cause != nil && !connectionBroke(err) {
		err = errors.CombineErrors(cause, err)
	}
	return errors.Wrap(err, "reading the endpoint's answer")
}

// writeChunk sends a chunk of an answer to the caller.
func writeChunk(w http.ResponseWriter, b []byte) error {
	if _, err := w.Write(b); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// beginStream writes the head of a stream's answer before its first chunk, and records where the stream
// began.
func (e *Edge) beginStream(j *job, i ggscore.Instance, a *ggsexchange.Answer, length int64) {
	if j.committed {
		return
	}
	if j.events && !j.unconfirmed {
		e.recordOrigin(j, i)
	}
	e.writeHead(j, a, length)
}

// isEventStream reports whether the body of a success is a stream of events.
func isEventStream(k ggscore.RouteKind, h http.Header) bool {
	// With an invalid parameter, the media type is returned beside the error.
	t, _, _ := mime.ParseMediaType(h.Get("Content-Type"))
	if t == "" {
		return k == ggscore.RouteStreaming
	}
	return t == "text/event-stream"
}

// checkEnd returns a *TruncatedStreamError if a stream of events can't end where it did. A crashed
// endpoint's connection may end as that of a complete answer does.
func checkEnd(j *job, a *ggsexchange.Answer) error {
	empty := a.Framing == ggsexchange.FramingClose && j.position.Events() == 0
	if j.events && (j.position.InsideEvent() || empty) {
		return &TruncatedStreamError{Events: j.position.Events(), Framing: a.Framing}
	}
	return nil
}

// recordChunk records the arrival of a chunk of a stream.
func (e *Edge) recordChunk(j *job) {
	now := e.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	degraded := false
	if !j.committed {
		e.turns.RecordFirstChunk(now, j.turn, j.sentAt)
		first := e.since(j.arrived)
		degraded = first > j.route.Target && first-j.turnWait <= j.route.Target
	} else {
		gap := now.Sub(j.lastChunkAt)
		j.maxGap = max(j.maxGap, gap)
		degraded = e.turns.RecordGap(now, j.service, j.turn.Endpoint, gap)
	}
	j.lastChunkAt = now
	if degraded && !j.degraded {
		j.degraded = true
		e.turns.RecordStream(now, j.service, j.turn.Endpoint, true)
	}
}

// recordStream records a stream that ended without having been degraded.
func (e *Edge) recordStream(j *job) {
	if j.degraded || j.route.Kind != ggscore.RouteStreaming {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.turns.RecordStream(e.Now(), j.service, j.turn.Endpoint, false)
}

// writeHead writes an answer's head.
func (e *Edge) writeHead(j *job, a *ggsexchange.Answer, length int64) {
	j.committed = true
	j.firstChunkAfter = e.since(j.arrived)
	e.metrics.observeFirstChunk(j.route.Kind, j.firstChunkAfter)
	h := j.w.Header()
	for k, vs := range e.Dialect.Return(a.Header) {
		switch k {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Proxy-Authenticate":
		default:
			h[k] = vs
		}
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	e.writeStatus(j, a.Status)
}
