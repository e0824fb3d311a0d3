// Package ggsrecency decides whether what a VM knows of the list of endpoints is current, or was current before the VM stood
// still, was cut off from its peers, or fell behind them.
//
// # Usage
//
//	var t ggsrecency.Tracker
//	t.Tick(now)                       // at short intervals, while the VM runs
//	view := ggsrecency.View{Peers: n, HeardAt: at, ListedAt: at, Behind: behind}
//	t.InStep(now, view)               // a live peer has read nothing that this VM hasn't
//	t.Current(now, view)              // and the list was read lately
//	t.StoodStillSince(now, sentAt)    // what was known at that time may be old
//
// A VM that stood still finds messages in its sockets that arrived meanwhile, and takes them for new ones: what it hears counts
// once these have been read. The clock must advance while the VM is suspended. A Tracker has no lock of its own.
package ggsrecency

import "time"

const (
	// maxPause is the time without a tick from which the VM stood still.
	maxPause = 600 * time.Millisecond
	// settleTime is the time after a standstill in which old messages are read.
	settleTime = 200 * time.Millisecond
	// maxSilence is the time without a heartbeat of any peer from which the VM counts as cut off.
	maxSilence = time.Second
	// maxListAge is the age of the last known reading of the list up to which it counts as current.
	maxListAge = 3 * time.Second
)

// A View is what a VM knows of its peers and the list.
type View struct {
	// Peers is the number of known peers, and HeardAt when the last heartbeat of one of them arrived.
	Peers   int
	HeardAt time.Time
	// ListedAt is when this VM or a peer last read the list, and ReadAt when this VM did.
	ListedAt time.Time
	ReadAt   time.Time
	// Behind is set if a peer has read entries that this VM hasn't.
	Behind bool
}

// A Tracker knows when its VM stood still. The zero value is ready to use.
type Tracker struct {
	tickedAt time.Time
	// stoodUntil is the end of the last standstill, zero for none.
	stoodUntil time.Time
}

// Tick records that the VM runs.
func (t *Tracker) Tick(now time.Time) {
	if t.standsStill(now) {
		t.stoodUntil = now
	}
	t.tickedAt = now
}

// standsStill reports whether the VM has stood still since the last tick.
func (t *Tracker) standsStill(now time.Time) bool {
	return !t.tickedAt.IsZero() && now.Sub(t.tickedAt) > maxPause
}

// StoodStillSince reports whether the VM has stood still after a time.
func (t *Tracker) StoodStillSince(now, at time.Time) bool {
	return t.standsStill(now) || t.stoodUntil.After(at)
}

// InStep reports whether no live peer can have read a list that this VM hasn't.
func (t *Tracker) InStep(now time.Time, v View) bool {
	if t.standsStill(now) || v.Behind {
		return false
	}
	if v.Peers == 0 {
		return t.settled(v.ReadAt)
	}
	return now.Sub(v.HeardAt) < maxSilence && t.settled(v.HeardAt)
}

// Current reports whether the list is that of the VMs that are in step with the store.
func (t *Tracker) Current(now time.Time, v View) bool {
	return t.InStep(now, v) && now.Sub(v.ListedAt) < maxListAge && t.settled(v.ListedAt)
}

// settled reports whether something was learned after the last standstill.
func (t *Tracker) settled(at time.Time) bool {
	return t.stoodUntil.IsZero() || at.After(t.stoodUntil.Add(settleTime))
}
