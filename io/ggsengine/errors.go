package ggsengine

import (
	"fmt"

	ggscore "greengageslip/core"
)

// A StatusError says that an endpoint answered with a status that isn't an
// answer to pass on.
type StatusError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint answered with status %d: %s", e.Status, e.Detail)
}

// A CutError says that an answer ended before its proper end.
type CutError struct {
	Pieces int
	Cause  error
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("answer cut after %d pieces: %v", e.Pieces, e.Cause)
}

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Cause }

// A ForeignAnswerError says that an answer names another request than the one
// it came for.
type ForeignAnswerError struct {
	Want ggscore.RequestID
	Got  ggscore.RequestID
}

// Error implements error.
func (e *ForeignAnswerError) Error() string {
	return fmt.Sprintf("answer for request %s came to %s", e.Got, e.Want)
}

// An UnframedError says that an answer has neither a length nor chunks, so that
// a broken connection can't be told from its end.
type UnframedError struct{}

// Error implements error.
func (e *UnframedError) Error() string { return "answer has no framing that shows its end" }

// A LongEventError says that an event of a stream is longer than is taken.
type LongEventError struct{ LimitBytes int }

// Error implements error.
func (e *LongEventError) Error() string {
	return fmt.Sprintf("event exceeds %d bytes", e.LimitBytes)
}

// A SilenceError says that an endpoint sent nothing for too long.
type SilenceError struct{}

// Error implements error.
func (e *SilenceError) Error() string { return "endpoint sent nothing for too long" }

// A BadReportError says that a runner's report can't be read.
type BadReportError struct{ Cause error }

// Error implements error.
func (e *BadReportError) Error() string { return fmt.Sprintf("bad report: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BadReportError) Unwrap() error { return e.Cause }

// A SinkError says that the taker of an answer's pieces ended the call.
type SinkError struct{ Cause error }

// Error implements error.
func (e *SinkError) Error() string { return fmt.Sprintf("taker of the answer failed: %v", e.Cause) }

// Unwrap returns the cause.
func (e *SinkError) Unwrap() error { return e.Cause }
