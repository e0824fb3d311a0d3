package ggsconfig

import (
	"fmt"
	"net/netip"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
)

// An UnknownOutcomeError says that it isn't known whether a change was
// accepted. Applying it again under the same id is safe.
type UnknownOutcomeError struct {
	Change  ggsdocument.ChangeID
	Section ggscore.SectionName
	ReadAt  ggscore.Revision
	Cause   error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("change %s of section %s: unknown outcome: %v", e.Change, e.Section, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// A TriesSpentError says that a change wasn't accepted in as many tries as
// are made.
type TriesSpentError struct {
	Tries int
	Cause error
}

// Error implements error.
func (e *TriesSpentError) Error() string {
	return fmt.Sprintf("not accepted after %d tries: %v", e.Tries, e.Cause)
}

// Unwrap returns the cause.
func (e *TriesSpentError) Unwrap() error { return e.Cause }

// A HistoryPassedError says that the head's history no longer reaches back to
// the try of a change.
type HistoryPassedError struct {
	Tried ggscore.Revision
	Have  ggscore.Revision
}

// Error implements error.
func (e *HistoryPassedError) Error() string {
	return fmt.Sprintf("history at revision %d no longer reaches back to revision %d", e.Have, e.Tried)
}

// A BadHeadError says that the value of config/head can't be decoded.
type BadHeadError struct{ Cause error }

// Error implements error.
func (e *BadHeadError) Error() string { return fmt.Sprintf("bad head: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BadHeadError) Unwrap() error { return e.Cause }

// A BadDigestError says that a text is no digest.
type BadDigestError struct{ Text string }

// Error implements error.
func (e *BadDigestError) Error() string { return fmt.Sprintf("bad digest %q", e.Text) }

// A MissingSectionError says that a section's text isn't there.
type MissingSectionError struct{ Digest ggscore.Digest }

// Error implements error.
func (e *MissingSectionError) Error() string {
	return fmt.Sprintf("no section with digest %x", e.Digest[:8])
}

// A NoSectionError says that the document has no such section.
type NoSectionError struct{ Section ggscore.SectionName }

// Error implements error.
func (e *NoSectionError) Error() string { return fmt.Sprintf("no section %q", e.Section) }

// A PeerError says that a peer didn't answer.
type PeerError struct {
	Addr  netip.AddrPort
	Cause error
}

// Error implements error.
func (e *PeerError) Error() string { return fmt.Sprintf("peer %s: %v", e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }

// A StoreWentBackError says that the platform's service shows an earlier
// revision than before: it was restored from an older copy.
type StoreWentBackError struct {
	Seen ggscore.StoreRevision
	Have ggscore.StoreRevision
}

// Error implements error.
func (e *StoreWentBackError) Error() string {
	return fmt.Sprintf("platform service went back from revision %d to %d", e.Seen, e.Have)
}

// A BadPackError says that a section can't be uncompressed.
type BadPackError struct{ Cause error }

// Error implements error.
func (e *BadPackError) Error() string { return fmt.Sprintf("bad compressed section: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BadPackError) Unwrap() error { return e.Cause }

// A TooLargeError says that a text is larger than a section may be.
type TooLargeError struct{ Limit int }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("more than %d bytes", e.Limit) }
