package ggsanswer

import "fmt"

// An InvalidError reports that an endpoint's answer can't be forwarded.
type InvalidError struct {
	Status int
	Reason Reason
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid answer with status %d: %s", e.Status, e.Reason)
}

// A Reason is why an answer is invalid.
type Reason string

// The reasons.
const (
	ReasonStatus        Reason = "not a final status"
	ReasonUnstated      Reason = "the status promises that the request has not run, and the endpoint doesn't"
	ReasonContradictory Reason = "the endpoint states that the request has not run, but not in a refusal of this request"
	ReasonUnsigned      Reason = "not signed by the endpoint"
	ReasonEncoded       Reason = "body has a Content-Encoding that wasn't requested"
)
