package main

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"greengageslip/core/ggsdocument"
)

// A usageError says that the command line is wrong.
type usageError struct{ detail string }

// Error implements error.
func (e *usageError) Error() string { return e.detail }

// A fileError says that a section in a file is not valid.
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

// A shownError says that failures were shown already.
type shownError struct{ code exitCode }

// Error implements error.
func (e *shownError) Error() string { return "" }

// A stateError says that a process didn't show its state.
type stateError struct {
	addr  netip.AddrPort
	cause error
}

// Error implements error.
func (e *stateError) Error() string { return fmt.Sprintf("state of %s: %v", e.addr, e.cause) }

// Unwrap returns the cause.
func (e *stateError) Unwrap() error { return e.cause }

// A statusError says that a process answered with a status other than 200.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return "status " + strconv.Itoa(e.status) }

// A requestError says that a gateway answered a request with a failure, or
// that its answer broke.
type requestError struct {
	kind    string
	detail  string
	outcome string
}

// Error implements error.
func (e *requestError) Error() string {
	return fmt.Sprintf("%s: %s (outcome %s)", e.kind, e.detail, e.outcome)
}

// A noRequestsError says that no log tells of a request that ended.
type noRequestsError struct{ files []string }

// Error implements error.
func (e *noRequestsError) Error() string {
	return "no request ended in: " + strings.Join(e.files, ", ")
}

// A noRequestError says that no log names a request.
type noRequestError struct {
	request string
	files   []string
}

// Error implements error.
func (e *noRequestError) Error() string {
	return fmt.Sprintf("request %s is in none of: %s", e.request, strings.Join(e.files, ", "))
}
