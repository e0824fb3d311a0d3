package ggsmember

import (
	"net/netip"
	"time"

	ggscore "greengageslip/core"
)

// A Member is the last known state of a dispatcher.
type Member struct {
	VM   ggscore.VMID
	Addr netip.AddrPort
	// Incarnation identifies one run of the process. It is the text of a version 7 UUID,
	// so that a later run sorts after an earlier one. It is empty for a member that is
	// known only from the platform's list.
	Incarnation string
	Sequence    uint64
	Leaving     bool
	// Failed is set in heartbeats only, if the sender marked the member as gone, for lack of
	// heartbeats or by an update. The member refutes the mark by a greater sequence number.
	Failed bool
	// Revision is the revision of the document that the member has in force.
	Revision ggscore.Revision
}

// A Heartbeat carries the state of its sender and recent updates about other members.
type Heartbeat struct {
	Sender Member
	// Monitor requests that the receiver monitors the sender: the receiver marks the sender as
	// gone when the sender's heartbeats stop. The request comes from the sender because only the
	// sender knows to which members it sends its heartbeats.
	Monitor bool
	Updates []Member
}

// A Target is where a heartbeat is to be sent.
type Target struct {
	Addr netip.AddrPort
	// Monitor is the value for the heartbeat's field of the same name.
	Monitor bool
}

// Limits configures the timing and the fan-out of heartbeats.
type Limits struct {
	// Interval is the time between heartbeats.
	Interval time.Duration
	// Timeout is the time without heartbeats after which a member counts as gone.
	Timeout time.Duration
	// UnlistedTimeout replaces Timeout for a member that the platform's list doesn't contain.
	UnlistedTimeout time.Duration
	// AllToAll is the largest number of members at which each member sends its heartbeats to all
	// others.
	AllToAll int
	// Monitors is the number of members to which each member sends its heartbeats in a larger
	// domain.
	Monitors int
	// MaxUpdates bounds the updates in one heartbeat. UpdateSends is the number of heartbeats
	// that carry an urgent update.
	MaxUpdates  int
	UpdateSends int
}

// DefaultLimits returns limits with which a change reaches all of 100 members within 3 s,
// for less than 2 KB a second at each member.
func DefaultLimits() Limits {
	return Limits{
		Interval:        time.Second,
		Timeout:         5 * time.Second,
		UnlistedTimeout: 3 * time.Second,
		AllToAll:        9,
		Monitors:        5,
		MaxUpdates:      4,
		UpdateSends:     3,
	}
}

const (
	uuidLength       = 36
	uuidVersionIndex = 14
)

// Supersedes reports whether incarnation a is later than b. A text that is no version 7 UUID
// has no known time, and is neither later nor earlier than another.
func Supersedes(a, b string) bool {
	return hasTimestamp(a) && hasTimestamp(b) && a > b
}

func hasTimestamp(s string) bool { return len(s) == uuidLength && s[uuidVersionIndex] == '7' }
