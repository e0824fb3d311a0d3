package ggsowner

import (
	"fmt"

	ggscore "greengageslip/core"
)

// A NotOwnerError reports that the dispatcher's ownership mode doesn't allow an order.
type NotOwnerError struct {
	Endpoint ggscore.EndpointID
	Mode     ggscore.OwnerMode
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("not the owner of endpoint %s: order refused (mode %d: 0 none, 1 resident only)", e.Endpoint, e.Mode)
}

// A NotProtectedError reports that the record doesn't yet protect an adapter on an
// endpoint, so that another owner could evict the adapter during a run.
type NotProtectedError struct {
	Endpoint ggscore.EndpointID
	Adapter  ggscore.AdapterRef
}

// Error implements error.
func (e *NotProtectedError) Error() string {
	return fmt.Sprintf("dispatch refused: adapter %s is not protected yet on endpoint %s", e.Adapter, e.Endpoint)
}

// A PinnedError reports that an earlier owner may still be using an adapter.
type PinnedError struct {
	Endpoint ggscore.EndpointID
	Adapter  ggscore.AdapterRef
	Holder   Holder
}

// Error implements error.
func (e *PinnedError) Error() string {
	return fmt.Sprintf("unload refused: adapter %s on endpoint %s is pinned by %s", e.Adapter, e.Endpoint, e.Holder.VM)
}
