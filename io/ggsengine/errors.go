package ggsengine

import (
	"fmt"

	ggscore "greengageslip/core"
)

// A StatusError reports that an endpoint answered with a status that isn't forwarded to the
// caller.
type StatusError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint answered with status %d: %s", e.Status, e.Detail)
}

// A TruncatedAnswerError reports that an answer is truncated. Chunks is the number of chunks that
// were forwarded.
type TruncatedAnswerError struct {
	Chunks int
	Cause  error
}

// Error implements error.
func (e *TruncatedAnswerError) Error() string {
	return fmt.Sprintf("answer truncated after %d chunks: %v", e.Chunks, e.Cause)
}

// Unwrap returns the cause.
func (e *TruncatedAnswerError) Unwrap() error { return e.Cause }

// A RequestIDMismatchError reports that an answer's X-Request-Id names another request.
type RequestIDMismatchError struct {
	Want ggscore.RequestID
	Got  ggscore.RequestID
}

// Error implements error.
func (e *RequestIDMismatchError) Error() string {
	return fmt.Sprintf("answer has the wrong request id: got %s, want %s", e.Got, e.Want)
}

// An UnframedError reports that an answer has neither a Content-Length nor chunked encoding, and isn't
// JSON either, so that a closed connection can't be distinguished from the end of the answer.
type UnframedError struct{}

// Error implements error.
func (e *UnframedError) Error() string {
	return "answer has neither a Content-Length nor chunked encoding"
}

// An EventTooLongError reports that an event of a stream exceeds the size limit.
type EventTooLongError struct{ LimitBytes int }

// Error implements error.
func (e *EventTooLongError) Error() string {
	return fmt.Sprintf("stream event exceeds %d bytes", e.LimitBytes)
}

// An IdleTimeoutError reports that an endpoint sent no byte for Settings.ReadIdleTimeout.
type IdleTimeoutError struct{}

// Error implements error.
func (e *IdleTimeoutError) Error() string {
	return "endpoint sent no data within the idle timeout"
}

// A BadReportError reports that a runner's report contains an invalid adapter reference.
type BadReportError struct{ Cause error }

// Error implements error.
func (e *BadReportError) Error() string { return fmt.Sprintf("runner report is invalid: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BadReportError) Unwrap() error { return e.Cause }

// A SinkError reports that the sink returned an error, which ends the call.
type SinkError struct{ Cause error }

// Error implements error.
func (e *SinkError) Error() string { return fmt.Sprintf("answer sink failed: %v", e.Cause) }

// Unwrap returns the cause.
func (e *SinkError) Unwrap() error { return e.Cause }
