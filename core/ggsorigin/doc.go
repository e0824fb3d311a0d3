// Package ggsorigin decides at which service and software version a resumed stream may go on.
//
// Inputs are the streams that this VM began, the records of streams that peers began, and the list
// of endpoints. Outputs are the VMs that keep copies of a record, and the origin of a resumed stream.
//
// # Usage
//
//	t := ggsorigin.NewTable()
//	t.Record(now, origin)               // before a stream's first event is sent, or from a peer
//	o, ok := t.Find(request)            // the origin of a resumed stream
//	t.Recent(now, service, age)         // records to copy once a second version appears
//	vms := ggsorigin.Holders(request, live, ggsorigin.Copies)
//
//	c := ggsorigin.NewCensus()
//	mixed := c.Observe(now, instances)  // services that have just got a second version
//	v, ok := c.Sole(now, service, age)  // the only version since then
//
//	next := register.Next(now, c, service, age, first) // what the store has to list
//	v := register.Begin(c, service, before)            // where streams begin until it does
//
//	o, err := ggsorigin.Decide(route, request, replies) // without a record of this VM
//
// While a service has one software version, every stream began at it, and nothing is copied between
// VMs. Otherwise, and while a VM can't know of other versions, each record has Copies holders besides the VM that began the stream, because that VM
// may be gone when the stream is resumed. A stream whose origin nobody knows is refused: a guess
// joins what two versions wrote, which nobody can notice.
//
// All VMs may fail together. The register in the store lists the versions at which streams can have begun, and is
// written before any stream begins at another version, so that VMs that start know of a version that served alone.
//
// The package has no clock, goroutine or lock of its own; the caller passes times and serializes
// access.
package ggsorigin
