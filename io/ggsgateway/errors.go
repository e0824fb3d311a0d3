package ggsgateway

import "fmt"

// A NotObjectError reports a body that is no JSON object.
type NotObjectError struct{}

// Error implements error.
func (*NotObjectError) Error() string { return "the body is no JSON object" }

// A ChunkOrderError reports that a chunk of an answer arrived out of order.
type ChunkOrderError struct {
	Want int
	Have int
}

// Error implements error.
func (e *ChunkOrderError) Error() string {
	return fmt.Sprintf("answer chunk out of order: got chunk %d, want chunk %d", e.Have, e.Want)
}

// A ChunkStatusError reports that an answer's status can't be one of an answer.
type ChunkStatusError struct{ Status int }

// Error implements error.
func (e *ChunkStatusError) Error() string {
	return fmt.Sprintf("answer with status %d, which can't be that of an answer", e.Status)
}
