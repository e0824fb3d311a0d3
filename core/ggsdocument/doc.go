// Package ggsdocument validates and versions the operators' document. It decides which
// sections form a valid document, which change of a section is accepted, which adapter
// a request names, and which head a process adopts.
//
// The inputs are sections, changes, heads and section texts. The outputs are documents,
// heads, resolutions of requests, and the digests of the section texts to pull.
//
// # Usage
//
//	s, err := ggsdocument.NewMarketSection("market/cr", source)
//	d, err := ggsdocument.Build(head.Revision, sections)
//	r, err := ggsdocument.Resolve(d, "cr", "asistente", "deposits-es@v2")
//	next, err := head.Accept(change)
//
//	f := ggsdocument.NewFollower(parser)
//	adopted, err := f.Offer(head) // if not adopted, f.Missing() has the digests to pull
//	adopted, err = f.Deliver(digest, text)
//
// The constructor of a section validates the section on its own. Build validates the
// references between sections: the services that markets use and the base models of
// their adapters. Failures are *SectionError and name section and key; the codec that
// parsed the text adds the line.
//
// # Revisions
//
// A head has the revision of the whole document. Each accepted change increments the
// revision and adds the change's ID to the head's history. A writer whose answer was
// lost can find out from the history whether its change was accepted. A follower adopts
// only heads with a revision greater than that of its current head.
//
// The package has no clock, no goroutine and no lock: the caller must serialize the
// calls to a Follower.
package ggsdocument
