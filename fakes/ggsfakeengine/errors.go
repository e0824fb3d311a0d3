package ggsfakeengine

// An abortedError reports that a request or an order was aborted before its end.
type abortedError struct{ reason string }

// Error implements error.
func (e *abortedError) Error() string { return "aborted: " + e.reason }

// A refusal is an error that is answered with a status and a JSON body.
type refusal struct {
	status  int
	kind    string
	outcome string
	detail  string
	fence   uint64
}

// Error implements error.
func (e *refusal) Error() string { return e.kind + ": " + e.detail }
