package ggsnode

import (
	"time"

	ggscore "greengageslip/core"
)

// An owner stands in for leases: the first dispatcher of a domain on the
// platform's list owns its endpoints.
type owner struct{ mode func() ggscore.OwnerMode }

var _ ggscore.OwnerGuard = (*owner)(nil)

func newOwner() *owner { return &owner{mode: func() ggscore.OwnerMode { return ggscore.ModeNone }} }

// Check implements ggscore.OwnerGuard.
func (o *owner) Check(_ time.Time, id ggscore.EndpointID, _ ggscore.AdapterRef, _ ggscore.OrderKind) (ggscore.FenceNumber, error) {
	if o.mode() != ggscore.ModeFull {
		return 0, &NotOwnerError{Endpoint: string(id)}
	}
	return 1, nil
}
