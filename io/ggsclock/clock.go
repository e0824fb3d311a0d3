// Package ggsclock reads the clock that goes on while the VM is suspended.
//
// # Usage
//
//	now := ggsclock.Boot()
//
// Go's monotonic clock stands still while a VM is suspended. A VM that wakes
// after its right to give orders has passed to another would still believe in
// it; the boot clock shows that time has gone by.
package ggsclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the VM's start as a time of its own: it is only
// to be compared with others of Boot. It has no monotonic reading, so that
// comparisons use the boot clock's.
func Boot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every Linux that Go runs on. A zero time is before
		// all others and gives no right to anything.
		return time.Time{}
	}
	return time.Unix(t.Unix())
}
