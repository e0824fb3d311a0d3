// Package ggsheartbeat exchanges heartbeats between the dispatchers of a
// failure domain over UDP, by the decisions of ggsmember.
//
// # Usage
//
//	conn, err := ggsheartbeat.Listen(ctx, addr) // the control address, on UDP
//	s := ggsheartbeat.New(conn, self, clock, ggsheartbeat.DefaultOptions(), logger)
//	s.Subscribe(func() { … }) // the membership may have changed
//	go s.Run(ctx)
//	s.SetListed(vms)            // each reading of the platform's list
//	s.SetSelf(leaving, revision)
//	members := s.Members()
//
// A heartbeat goes from and to the UDP port that bears the number of the
// control address. Seeds are asked while nobody else is known, so that a VM
// that starts while the platform is away finds the others.
//
// # Datagram
//
// A datagram starts with the format's version, a sum of the domain's name, flags and the
// sender, followed by a count and the members that it tells of. Numbers are
// varints, texts stand behind their length. One that can't be read whole, or
// is of another version or domain, is dropped and counted.
//
// The lock of a Server is the only one and is never held during I/O.
package ggsheartbeat
