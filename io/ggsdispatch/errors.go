package ggsdispatch

import (
	"fmt"

	ggscore "greengageslip/core"
)

// A StreamEndedError says that a piece came after an answer's end.
type StreamEndedError struct{}

// Error implements error.
func (e *StreamEndedError) Error() string { return "stream has ended" }

// A WrongAdapterError says that an endpoint ran another adapter than asked.
type WrongAdapterError struct {
	Asked  ggscore.AdapterRef
	Served ggscore.AdapterRef
}

// Error implements error.
func (e *WrongAdapterError) Error() string {
	return fmt.Sprintf("asked for adapter %s, endpoint served %s", e.Asked, e.Served)
}

// A NotOwnerError says that this process may not use an endpoint now.
type NotOwnerError struct{ Endpoint ggscore.EndpointID }

// Error implements error.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("endpoint %s is not owned", e.Endpoint)
}
