// Package ggsdocument decides over the operators' document: which sections
// form a valid document, which change of a section is accepted, which adapter
// a request names, and which head a process follows.
//
// # Usage
//
//	s, err := ggsdocument.NewMarketSection("market/cr", source)
//	d, err := ggsdocument.Build(head.Revision, sections)
//	r, err := ggsdocument.Resolve(d, "cr", "asistente", "deposits-es@v2")
//	next, err := head.Accept(change)
//
//	f := ggsdocument.NewFollower(parser)
//	pull, err := f.Offer(head) // the digests to pull
//	adopted, err := f.Deliver(digest, text)
//
// A section is checked by its constructor for what stands in it alone. Build
// checks what spans sections: the services that markets use and the base
// models of their adapters. Failures are *SectionError and name section and
// key; the codec that read the text adds the line.
//
// # Revisions
//
// A head numbers the whole document. Each accepted change raises its revision
// by one and enters the change's id into the head's history, so that a writer
// whose answer was lost can find out whether its change was accepted. A
// follower only ever adopts a head with a greater revision than its own.
//
// The package holds no clock, no goroutine and no lock.
package ggsdocument
