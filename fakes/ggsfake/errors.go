package main

import "fmt"

// A BadFlagError says that a flag's value is out of range.
type BadFlagError struct {
	Flag string
	Want string
}

// Error implements error.
func (e *BadFlagError) Error() string { return fmt.Sprintf("--%s: want %s", e.Flag, e.Want) }

// A CallFailedError says that a stand-in refused a call.
type CallFailedError struct{ Status int }

// Error implements error.
func (e *CallFailedError) Error() string { return fmt.Sprintf("answered with status %d", e.Status) }
