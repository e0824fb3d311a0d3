package ggsnode

import "fmt"

// An UnwantedArgumentError reports a positional argument, which no program takes.
type UnwantedArgumentError struct{ Argument string }

// Error implements error.
func (e *UnwantedArgumentError) Error() string {
	return fmt.Sprintf("unexpected argument %q", e.Argument)
}

// A NotReadyError reports why a process isn't ready to serve.
type NotReadyError struct{ Reason string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Reason }
