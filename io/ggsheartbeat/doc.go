// Package ggsheartbeat exchanges heartbeats over UDP between the dispatchers of a failure
// domain. Package ggsmember decides whom to send them to, what they contain and which members
// are live.
//
// # Usage
//
//	conn, err := ggsheartbeat.Listen(ctx, addr) // the control address, on UDP
//	s := ggsheartbeat.New(conn, self, clock, ggsheartbeat.DefaultOptions(domain), logger)
//	s.Subscribe(func() { … }) // the membership may have changed
//	go s.Run(ctx)
//	s.SetListed(vms)            // each reading of the platform's list
//	s.SetSelf(leaving, revision)
//	members := s.Members()
//
// Heartbeats are sent from and to the UDP port with the number of the control address's port.
// While no other member is known, they go to the seeds, so that a VM that starts while the
// platform is unreachable finds the other members.
//
// # Datagram
//
// A datagram starts with the format version, a hash of the domain's name, and the sender with its
// flags. The number of updates and the updated members follow. Numbers are varints, and each text
// is preceded by its length. A datagram that is malformed, or of another version or domain, is
// counted and dropped.
//
// # Locks
//
// Server.mu is the only lock. It isn't held during I/O or while subscribers are called.
package ggsheartbeat
