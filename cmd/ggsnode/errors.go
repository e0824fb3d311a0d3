package ggsnode

import "fmt"

// An UnexpectedArgumentError reports a positional argument, which no program takes.
type UnexpectedArgumentError struct{ Argument string }

// Error implements error.
func (e *UnexpectedArgumentError) Error() string {
	return fmt.Sprintf("unexpected argument %q", e.Argument)
}

// A NotReadyError reports why a process isn't ready to serve.
type NotReadyError struct{ Reason string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Reason }

// A CutError reports requests that a planned stop has ended although they had been sent, and connections that it has closed on
// which a request was arriving or in progress.
type CutError struct{ Requests, Connections int }

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("%d requests ended and %d connections closed at the end of the time for a stop", e.Requests, e.Connections)
}
