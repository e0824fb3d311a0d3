package ggsanswer

import "net/http"

// An Answer is what the head of an endpoint's answer says.
type Answer struct {
	Status int
	// Identified is set if the answer names the request, and only it.
	Identified bool
	// Signed is set if the endpoint has signed the answer.
	Signed bool
	// StatedNotRun is set if the answer says that the request has not run.
	StatedNotRun bool
	// Encoded is set if the body has a content encoding.
	Encoded bool
}

// A Verdict is what may be made of a valid answer.
type Verdict int

// The verdicts.
const (
	// Forward is an answer for the caller. The request has run.
	Forward Verdict = iota
	// NotRun is the endpoint's refusal: the request has not run and never will.
	NotRun
)

// LastStatus is the last status that HTTP defines a class for.
const LastStatus = 599

// Judge returns what may be made of an answer, or an *InvalidError.
func Judge(a Answer) (Verdict, error) {
	if a.StatedNotRun && a.Identified && !a.Encoded && refuses(a.Status) {
		return NotRun, nil
	}
	if r := a.invalid(); r != "" {
		return Forward, &InvalidError{Status: a.Status, Reason: r}
	}
	return Forward, nil
}

// invalid returns why an answer that is no refusal can't be forwarded, empty if it can.
func (a *Answer) invalid() Reason {
	switch {
	case a.Status < http.StatusOK || a.Status > LastStatus:
		return ReasonStatus
	case a.StatedNotRun:
		return ReasonContradictory
	case Promises(a.Status):
		return ReasonUnstated
	case a.Status < http.StatusInternalServerError && !a.Signed:
		return ReasonUnsigned
	case a.Encoded:
		return ReasonEncoded
	}
	return ""
}

// refuses reports whether endpoints refuse requests with a status.
func refuses(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Promises reports whether callers take a status for the promise that their request has not run and never will.
func Promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
