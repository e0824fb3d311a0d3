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
