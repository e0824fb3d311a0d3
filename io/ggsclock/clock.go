// Package ggsclock reads a clock that keeps running while the VM is suspended.
//
// # Usage
//
//	now := ggsclock.Boot()
//
// Go's monotonic clock stops while a VM is suspended. A VM that resumes after its
// ownership of endpoints has passed to another VM would still consider itself the
// owner. The boot clock includes the time of the suspension.
package ggsclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the VM's boot as an offset from the Unix epoch. The
// result is only comparable with other results of Boot. It has no monotonic reading,
// so that comparisons use the boot clock.
func Boot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux that Go supports has this clock. The zero time precedes all
		// others and grants no ownership.
		return time.Time{}
	}
	return time.Unix(t.Unix())
}
