// Package ggsmember keeps the membership of a failure domain's dispatchers: which members
// are live, which are leaving, and which revision of the document each has in force.
//
// # Usage
//
//	t := ggsmember.NewTable(self, limits)
//	t.SetSelf(leaving, revision)
//	to := t.Targets(now)             // where the next heartbeat goes
//	h := t.NextHeartbeat(now)        // send it to each target
//	t.Receive(now, from, heartbeat)  // each heartbeat that arrives
//	t.SetListed(now, vms)            // each reading of the platform's list
//	members := t.Members(now)
//
// In a small domain each member sends its heartbeats to all members. In a larger domain it
// sends them to a few monitors, selected by rendezvous hashing, and each heartbeat carries
// recent updates about other members. A monitor watches only the members that requested it
// in their heartbeats. If each member computed from its own view whom it monitors, two views
// that differ for a moment would mark live members as gone, and the views would diverge more.
//
// # Precedence
//
// A later incarnation of a VM replaces an earlier one. Within one incarnation the greater
// sequence number wins, and the leaving state is final: neither an older heartbeat nor the
// platform's list, which lags, makes a leaving member live again. The list adds members
// that no heartbeat has named, and marks listed members as leaving. A member counts as gone
// after a timeout without heartbeats, which is shorter if the list doesn't contain the member.
//
// The package has no clock, goroutine or lock. Callers pass the time and serialize access.
package ggsmember
