// Package ggsmember keeps the membership of a failure domain's dispatchers:
// who lives, who is leaving, and which revision of the document each has.
//
// # Usage
//
//	t := ggsmember.NewTable(self, limits)
//	t.SetSelf(leaving, revision)
//	b := t.Beat(now)                 // send it to each of t.Targets(now)
//	t.Receive(now, from, heartbeat)  // each heartbeat that arrives
//	t.SetListed(now, vms)            // each reading of the platform's list
//	members := t.Members(now)
//
// Heartbeats go directly to all members while they are few. In a larger domain
// each goes to a few monitors, picked by rendezvous hashing, and what a member
// learnt lately rides on its own heartbeats. A monitor misses only members that
// asked it to: were each to work out whose monitor it is, two views that differ
// for a moment would give live members up, and that would set views apart more.
//
// # What wins
//
// A later life of a VM replaces an earlier one. Within one life the greater
// sequence number wins, and leaving is never taken back: neither an older
// heartbeat nor the platform's list, which lags, makes a leaving member live
// again. The list adds members that no heartbeat told of, and says of listed
// ones that they are leaving. A member is gone after a silence, and sooner
// where the list lacks it.
//
// The package holds no clock, no goroutine and no lock.
package ggsmember
