package ggsowners

import (
	"time"

	ggscore "greengageslip/core"
)

// Lease returns the VM's lease and until when it is certainly held: on the
// clock of New, counted from before the last renewal was sent and less the
// margin. The time is zero where it isn't certainly held now, though the
// platform may still hold it; the identifier is zero where there is none.
func (o *Owners) Lease() (ggscore.LeaseID, time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease.ID(), o.lease.Expires(o.clock())
}
