package ggsnode

import "fmt"

// An UnwantedArgumentError says that a program takes no such argument.
type UnwantedArgumentError struct{ Argument string }

// Error implements error.
func (e *UnwantedArgumentError) Error() string {
	return fmt.Sprintf("unwanted argument %q", e.Argument)
}

// A NotReadyError says why a process doesn't serve.
type NotReadyError struct{ Reason string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Reason }
