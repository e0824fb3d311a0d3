package ggsmember

import (
	"net/netip"
	"time"

	ggscore "greengageslip/core"
)

// A Member is a dispatcher as it was last heard of.
type Member struct {
	VM   ggscore.VMID
	Addr netip.AddrPort
	// Incarnation names one life of the process. It is the text of a version
	// 7 UUID, so that a later life sorts after an earlier one. It is empty for
	// a member that only the platform's list told of.
	Incarnation string
	Sequence    uint64
	Leaving     bool
	// Gone stands in heartbeats only: its sender missed the member's own. The
	// member refutes it by a greater sequence number.
	Gone bool
	// Revision is that of the document it has in force.
	Revision ggscore.Revision
}

// A Heartbeat says what its sender is and what it learnt of others lately.
type Heartbeat struct {
	Sender Member
	// Watch asks its receiver to miss the sender when heartbeats stay away.
	// Only the sender knows where it sends, so that nobody guesses.
	Watch bool
	News  []Member
}

// A Target is where a heartbeat is to be sent.
type Target struct {
	Addr netip.AddrPort
	// Watch is for the heartbeat's field of that name.
	Watch bool
}

// Limits set the times and the fan-out of heartbeats.
type Limits struct {
	// Every is the time between heartbeats.
	Every time.Duration
	// Silence is how long a member lives on without a sign of life.
	Silence time.Duration
	// UnlistedSilence is the same where the platform's list lacks it.
	UnlistedSilence time.Duration
	// AllToAll is the largest number of members that each sends to all.
	AllToAll int
	// Monitors is the number of members to send to in a larger domain.
	Monitors int
	// News bounds the members that ride on a heartbeat, NewsSends how often
	// each does.
	News      int
	NewsSends int
}

// DefaultLimits returns limits that carry a change through a domain of 100
// members within 3 s and take less than 2 KB a second of each.
func DefaultLimits() Limits {
	return Limits{
		Every:           time.Second,
		Silence:         5 * time.Second,
		UnlistedSilence: 3 * time.Second,
		AllToAll:        9,
		Monitors:        5,
		News:            4,
		NewsSends:       3,
	}
}

const (
	uuidBytes     = 36
	uuidVersionAt = 14
)

// Supersedes reports whether incarnation a is a later life than b. Texts that
// are no version 7 UUIDs say nothing about time, so that none is later.
func Supersedes(a, b string) bool {
	return timed(a) && timed(b) && a > b
}

func timed(s string) bool { return len(s) == uuidBytes && s[uuidVersionAt] == '7' }
