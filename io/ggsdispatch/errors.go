package ggsdispatch

import (
	"fmt"

	ggscore "greengageslip/core"
)

// A StreamEndedError reports that a chunk arrived after the end of its answer.
type StreamEndedError struct{}

// Error implements error.
func (e *StreamEndedError) Error() string { return "answer stream has already ended" }

// A WrongAdapterError reports that an endpoint ran an adapter that was not requested.
type WrongAdapterError struct {
	Requested ggscore.AdapterRef
	Served    ggscore.AdapterRef
}

// Error implements error.
func (e *WrongAdapterError) Error() string {
	return fmt.Sprintf("endpoint ran the wrong adapter: requested %s, got %s", e.Requested, e.Served)
}

// A NotOwnerError reports that this process doesn't own an endpoint.
type NotOwnerError struct{ Endpoint ggscore.EndpointID }

// Error implements error.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("endpoint %s is not owned by this dispatcher", e.Endpoint)
}
