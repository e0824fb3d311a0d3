package ggsgateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsanswer"
)

// maxBufferedBytes bounds the part of an unstreamed answer that is buffered until the
// answer is complete. While the answer is buffered, a failure can still be sent to the
// caller as an error status.
const maxBufferedBytes = 1 << 20

type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Type             string `json:"type"`
	Message          string `json:"message"`
	Outcome          string `json:"outcome"`
	RequestID        string `json:"requestId"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
}

// An answer writes the chunks of one answer to the caller in order.
type answer struct {
	c      *gin.Context
	id     string
	stream bool
	// next is the sequence number of the next chunk.
	next    int
	first   ggscore.Chunk
	stall   time.Duration
	buffer  []byte
	started bool
	bytes   int
}

// add writes or buffers the next chunk. stall is read only with the first chunk.
func (a *answer) add(k ggscore.Chunk, stall time.Duration) error {
	if k.Seq != a.next {
		return &ChunkOrderError{Want: a.next, Have: k.Seq}
	}
	if a.next == 0 {
		if k.Status < http.StatusOK || k.Status > ggsanswer.LastStatus {
			return &ChunkStatusError{Status: k.Status}
		}
		a.first, a.stall = k, stall
	}
	a.next++
	a.bytes += len(k.Data)
	if a.stream || a.started {
		return a.write(k.Data)
	}
	a.buffer = append(a.buffer, k.Data...)
	if k.Final || len(a.buffer) > maxBufferedBytes {
		h := a.buffer
		a.buffer = nil
		return a.write(h)
	}
	return nil
}

// fail ends the answer with a failure. It panics with http.ErrAbortHandler if the
// failure can't be sent to the caller.
func (a *answer) fail(f *ggscore.Failure) {
	if !a.started {
		writeFailure(a.c, f)
		return
	}
	if !a.stream {
		// Part of an unstreamed answer was sent. If the body ended normally, the
		// caller would take it for the complete answer. Closing the connection
		// makes the failure visible.
		panic(http.ErrAbortHandler)
	}
	b, err := json.Marshal(bodyOf(a.id, f))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = a.c.Writer.WriteString("event: error\ndata: " + string(b) + "\n\n")
	a.c.Writer.Flush()
}

func (a *answer) write(b []byte) error {
	if !a.started {
		a.started = true
		h := a.c.Writer.Header()
		h.Set("Content-Type", a.first.ContentType)
		h.Set(headerStall, a.stall.String())
		if !a.first.Served.IsZero() {
			h.Set(headerServed, a.first.Served.String())
		}
		a.c.Status(a.first.Status)
		a.c.Writer.WriteHeaderNow()
	}
	if _, err := a.c.Writer.Write(b); err != nil {
		return err
	}
	a.c.Writer.Flush()
	return nil
}

func bodyOf(id string, f *ggscore.Failure) errorBody {
	return errorBody{Error: errorObject{
		Type: string(f.Kind), Message: f.Detail, Outcome: f.Outcome.String(),
		RequestID: id, RetryAfterMillis: f.RetryAfter.Milliseconds(),
	}}
}

// statusOf returns the HTTP status for a failure. Callers take some statuses for the promise that their request has not
// run, so a failure without that outcome has another one.
func statusOf(f *ggscore.Failure) int {
	s := statusOfKind(f.Kind)
	switch {
	case f.Outcome == ggscore.OutcomeNotRun || !ggsanswer.Promises(s):
		return s
	case f.Kind == ggscore.FailureCancelled:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// statusOfKind returns the HTTP status for a failure of a request that has not run.
func statusOfKind(k ggscore.FailureKind) int {
	switch k {
	case ggscore.FailureBadRequest:
		return http.StatusBadRequest
	case ggscore.FailureTooLarge:
		return http.StatusRequestEntityTooLarge
	case ggscore.FailureUnknownMarket, ggscore.FailureUnknownAdapter, ggscore.FailureUnknownService:
		return http.StatusNotFound
	case ggscore.FailureOverLimit:
		return http.StatusTooManyRequests
	case ggscore.FailureKeyReused:
		return http.StatusUnprocessableEntity
	case ggscore.FailureKeyInUse, ggscore.FailureKeyExpired:
		return http.StatusConflict
	case ggscore.FailureEndpoint, ggscore.FailureBroken, ggscore.FailureWrongAdapter, ggscore.FailureInternal:
		return http.StatusBadGateway
	case ggscore.FailureNoCapacity, ggscore.FailureStopping, ggscore.FailurePlatformUnavailable, ggscore.FailureNoDocument,
		ggscore.FailureNotOwner, ggscore.FailureAdapterMissing, ggscore.FailureCancelled, ggscore.FailureQuarantined:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

func writeFailure(c *gin.Context, f *ggscore.Failure) {
	if f.RetryAfter > 0 {
		c.Header("Retry-After", retryAfter(f))
	}
	c.JSON(statusOf(f), bodyOf(c.GetString(headerRequestID), f))
}

// retryAfter returns the value of the header Retry-After, in whole seconds.
func retryAfter(f *ggscore.Failure) string {
	return strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds())))
}
