package ggsorigin

import (
	"fmt"

	ggscore "greengageslip/core"
)

// An UnknownError reports that no VM knows at which software version a stream began.
type UnknownError struct {
	Request ggscore.RequestID
	Route   string
	// Asked is the number of VMs that replied, this one included.
	Asked int
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("software version that began the stream of request %q on route %s is unknown to %d VMs", e.Request, e.Route, e.Asked)
}

// A ServiceError reports that a stream began at a service to which its route no longer leads.
type ServiceError struct {
	Route  string
	Origin ggscore.StreamOrigin
}

// Error implements error.
func (e *ServiceError) Error() string {
	return fmt.Sprintf("stream of request %q began at service %s, to which route %s no longer leads", e.Origin.Request, e.Origin.Service, e.Route)
}
