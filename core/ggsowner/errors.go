package ggsowner

import (
	"fmt"

	ggscore "greengageslip/core"
)

// A NotOwnerError says that an order needs an ownership that isn't held.
type NotOwnerError struct {
	Endpoint ggscore.EndpointID
	Mode     ggscore.OwnerMode
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("not the owner of %s (mode %d)", e.Endpoint, e.Mode)
}

// A NotProtectedError says that an adapter isn't protected yet on an endpoint,
// so that another owner might evict it during a run.
type NotProtectedError struct {
	Endpoint ggscore.EndpointID
	Adapter  ggscore.AdapterRef
}

// Error implements error.
func (e *NotProtectedError) Error() string {
	return fmt.Sprintf("adapter %s is not protected on %s", e.Adapter, e.Endpoint)
}

// A PinnedError says that an earlier owner may be using an adapter.
type PinnedError struct {
	Endpoint ggscore.EndpointID
	Adapter  ggscore.AdapterRef
	Holder   Holder
}

// Error implements error.
func (e *PinnedError) Error() string {
	return fmt.Sprintf("adapter %s on %s is pinned by %s", e.Adapter, e.Endpoint, e.Holder.VM)
}
