package main

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"greengageslip/core/ggsdocument"
)

// A usageError reports an invalid command line.
type usageError struct{ detail string }

// Error implements error.
func (e *usageError) Error() string { return e.detail }

// A fileError reports an invalid section in a file.
type fileError struct {
	file    string
	section *ggsdocument.SectionError
}

// Error implements error.
func (e *fileError) Error() string {
	s := e.file
	if e.section.Line > 0 {
		s += ":" + strconv.Itoa(e.section.Line)
	}
	if e.section.Key != "" {
		s += ": " + e.section.Key
	}
	return s + ": " + e.section.Cause.Error()
}

// Unwrap returns the cause.
func (e *fileError) Unwrap() error { return e.section }

// A shownError carries an exit code for failures that were already printed.
type shownError struct{ code exitCode }

// Error implements error.
func (e *shownError) Error() string { return "" }

// A stateError reports that a process's state could not be read.
type stateError struct {
	addr  netip.AddrPort
	cause error
}

// Error implements error.
func (e *stateError) Error() string { return fmt.Sprintf("read state of %s: %v", e.addr, e.cause) }

// Unwrap returns the cause.
func (e *stateError) Unwrap() error { return e.cause }

// A statusError reports an HTTP status other than the expected ones.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return "unexpected status " + strconv.Itoa(e.status) }

// A requestError reports that a gateway answered a request with a failure, or that
// its answer was truncated.
type requestError struct {
	kind    string
	detail  string
	outcome string
}

// Error implements error.
func (e *requestError) Error() string {
	return fmt.Sprintf("%s: %s (outcome %s)", e.kind, e.detail, e.outcome)
}

// A noRequestsError reports that no log has the end of any request.
type noRequestsError struct{ files []string }

// Error implements error.
func (e *noRequestsError) Error() string {
	return "no request ended in the logs: " + strings.Join(e.files, ", ")
}

// A noRequestError reports that no log has a line of a request.
type noRequestError struct {
	request string
	files   []string
}

// Error implements error.
func (e *noRequestError) Error() string {
	return fmt.Sprintf("request %s is in none of the logs: %s", e.request, strings.Join(e.files, ", "))
}
