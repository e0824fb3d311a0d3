package main

import "fmt"

// A BadFlagError reports that the value of a flag is out of range.
type BadFlagError struct {
	Flag string
	Want string
}

// Error implements error.
func (e *BadFlagError) Error() string {
	return fmt.Sprintf("invalid value of --%s: must be %s", e.Flag, e.Want)
}

// A CallFailedError reports that a test double answered with a status other than 200.
type CallFailedError struct{ Status int }

// Error implements error.
func (e *CallFailedError) Error() string { return fmt.Sprintf("call failed: status %d", e.Status) }
