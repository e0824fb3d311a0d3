package ggsconfig

import (
	"fmt"
	"net/netip"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
)

// An UnknownOutcomeError reports that a change may or may not have been accepted.
// Applying the change again with the same ID and with Edit.Repeated set is safe.
type UnknownOutcomeError struct {
	Change       ggsdocument.ChangeID
	Section      ggscore.SectionName
	BaseRevision ggscore.Revision
	Cause        error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("change %s of section %s: unknown outcome: %v", e.Change, e.Section, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// An AttemptsExhaustedError reports that a change wasn't accepted within the maximum number of
// attempts.
type AttemptsExhaustedError struct {
	Attempts int
	Cause    error
}

// Error implements error.
func (e *AttemptsExhaustedError) Error() string {
	return fmt.Sprintf("not accepted after %d tries: %v", e.Attempts, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptsExhaustedError) Unwrap() error { return e.Cause }

// A HistoryTrimmedError reports that the history of the head at revision Have no longer
// reaches back to AttemptedOn, the revision that a change may have replaced.
type HistoryTrimmedError struct {
	AttemptedOn ggscore.Revision
	Have        ggscore.Revision
}

// Error implements error.
func (e *HistoryTrimmedError) Error() string {
	return fmt.Sprintf("change not found: history of the head at revision %d doesn't reach back to revision %d", e.Have, e.AttemptedOn)
}

// A BadHeadError reports that the value of config/head can't be decoded.
type BadHeadError struct{ Cause error }

// Error implements error.
func (e *BadHeadError) Error() string { return fmt.Sprintf("can't decode config/head: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BadHeadError) Unwrap() error { return e.Cause }

// A BadDigestError reports that a text isn't a hexadecimal SHA-256 digest.
type BadDigestError struct{ Text string }

// Error implements error.
func (e *BadDigestError) Error() string {
	return fmt.Sprintf("invalid digest %q: want 64 hexadecimal digits", e.Text)
}

// A MissingSectionError reports that a store or peer has no section text with this digest.
// The message contains the first 8 bytes of the digest.
type MissingSectionError struct{ Digest ggscore.Digest }

// Error implements error.
func (e *MissingSectionError) Error() string {
	return fmt.Sprintf("section text with digest %x not found", e.Digest[:8])
}

// A NoSectionError reports that the document has no section with this name.
type NoSectionError struct{ Section ggscore.SectionName }

// Error implements error.
func (e *NoSectionError) Error() string { return fmt.Sprintf("no section %q", e.Section) }

// A PeerError reports that a call of a peer failed, or that its answer was unusable.
type PeerError struct {
	Addr  netip.AddrPort
	Cause error
}

// Error implements error.
func (e *PeerError) Error() string { return fmt.Sprintf("peer %s: %v", e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }

// A StoreRevisionDecreasedError reports that the store revision of the platform's service
// decreased from Seen to Have. The service was then restored from an older copy.
type StoreRevisionDecreasedError struct {
	Seen ggscore.StoreRevision
	Have ggscore.StoreRevision
}

// Error implements error.
func (e *StoreRevisionDecreasedError) Error() string {
	return fmt.Sprintf("platform service restored from an older copy: store revision decreased from %d to %d", e.Seen, e.Have)
}

// A DecompressionError reports that a section's text or a head can't be decompressed.
type DecompressionError struct{ Cause error }

// Error implements error.
func (e *DecompressionError) Error() string { return fmt.Sprintf("can't decompress text: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DecompressionError) Unwrap() error { return e.Cause }

// A TooLargeError reports that a decompressed text exceeds Limit bytes.
type TooLargeError struct{ Limit int }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("text exceeds the limit of %d bytes", e.Limit)
}
