package ggsdocument

import (
	"fmt"
	"strconv"

	ggscore "greengageslip/core"
)

// A SectionError reports a section that is invalid, on its own or in combination with
// other sections. Key is the path of the value, such as
// adapters["deposits-es"].current. Line counts from one; zero means unknown.
type SectionError struct {
	Section ggscore.SectionName
	Key     string
	Line    int
	Cause   error
}

// Error implements error.
func (e *SectionError) Error() string {
	s := string(e.Section)
	if e.Line > 0 {
		s += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		s += ": " + e.Key
	}
	return s + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SectionError) Unwrap() error { return e.Cause }

// A MissingValueError reports a required key that is not set.
type MissingValueError struct{}

// Error implements error.
func (e *MissingValueError) Error() string { return "must be set" }

// An UnwantedValueError reports a key that must not be set in this place.
type UnwantedValueError struct{ Where string }

// Error implements error.
func (e *UnwantedValueError) Error() string { return "must not be set for " + e.Where }

// An OutOfRangeError reports a value that is out of range.
type OutOfRangeError struct {
	Value string
	Want  string
}

// Error implements error.
func (e *OutOfRangeError) Error() string { return e.Value + " is out of range: want " + e.Want }

// A BadNameError reports a name that is empty, too long or has invalid characters.
type BadNameError struct{ Name string }

// Error implements error.
func (e *BadNameError) Error() string {
	return fmt.Sprintf("bad name %q: want letters, digits and . _ - only", e.Name)
}

// A DuplicateNameError reports a name that is used twice.
type DuplicateNameError struct{ Name string }

// Error implements error.
func (e *DuplicateNameError) Error() string { return fmt.Sprintf("duplicate name %q", e.Name) }

// A DanglingServiceError reports that a market uses a service that isn't in the section
// services.
type DanglingServiceError struct{ Service ggscore.Service }

// Error implements error.
func (e *DanglingServiceError) Error() string {
	return fmt.Sprintf("no service %q in section services", e.Service)
}

// A DanglingVersionError reports that an adapter's current version is not among its
// versions.
type DanglingVersionError struct{ Version ggscore.Version }

// Error implements error.
func (e *DanglingVersionError) Error() string {
	return fmt.Sprintf("version %q is not among the adapter's versions", e.Version)
}

// An UnservedBaseModelError reports that none of the services that a market uses serves
// an adapter's base model.
type UnservedBaseModelError struct{ Base ggscore.BaseModel }

// Error implements error.
func (e *UnservedBaseModelError) Error() string {
	return fmt.Sprintf("no service of the market serves base model %q", e.Base)
}

// An UnknownSectionError reports a section name that is none of services, policy and
// market/NAME.
type UnknownSectionError struct{ Section ggscore.SectionName }

// Error implements error.
func (e *UnknownSectionError) Error() string {
	return fmt.Sprintf("unknown section %q: want services, policy or market/NAME", e.Section)
}

// A SectionConflictError reports that a section was changed after the revision that the
// operator had read. The rejected change had no effect.
type SectionConflictError struct {
	Section ggscore.SectionName
	// BaseRevision is the revision that the operator had read.
	BaseRevision ggscore.Revision
	// Changed, By and Change describe the latest change of the section.
	Changed ggscore.Revision
	By      string
	Change  ChangeID
}

// Error implements error.
func (e *SectionConflictError) Error() string {
	return fmt.Sprintf("section %s was changed at revision %d by %s (change %s), after revision %d that was read",
		e.Section, e.Changed, e.By, e.Change, e.BaseRevision)
}

// A FutureRevisionError reports that an operator states to have read a revision that is
// newer than the head. Either the head was restored from an older copy of the
// platform's data, or the revision is mistyped.
type FutureRevisionError struct {
	BaseRevision ggscore.Revision
	Have         ggscore.Revision
}

// Error implements error.
func (e *FutureRevisionError) Error() string {
	return fmt.Sprintf("change rejected: revision %d that was read is newer than the platform's head at revision %d", e.BaseRevision, e.Have)
}

// A LowerHeadError reports a rejected head whose revision is lower than that of the
// current head.
type LowerHeadError struct {
	Offered ggscore.Revision
	Have    ggscore.Revision
}

// Error implements error.
func (e *LowerHeadError) Error() string {
	return fmt.Sprintf("head at revision %d rejected: older than the current revision %d", e.Offered, e.Have)
}

// A ForkedHeadError reports a rejected head that has the revision of the current head
// but other sections.
type ForkedHeadError struct{ Revision ggscore.Revision }

// Error implements error.
func (e *ForkedHeadError) Error() string {
	return fmt.Sprintf("head at revision %d rejected: its sections differ from the current head of that revision", e.Revision)
}

// A DeltaError reports a delta that can't be applied to a head.
type DeltaError struct {
	From ggscore.Revision
	To   ggscore.Revision
}

// Error implements error.
func (e *DeltaError) Error() string {
	return fmt.Sprintf("delta from revision %d to %d rejected: checksum of the sections doesn't match", e.From, e.To)
}

// A DigestError reports that a section's text doesn't have the digest by which it was
// pulled.
type DigestError struct {
	Want ggscore.Digest
	Have ggscore.Digest
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("section text rejected: digest is %x, want %x", e.Have[:8], e.Want[:8])
}

// An UnknownMarketError reports a market that isn't in the document.
type UnknownMarketError struct{ Market ggscore.Market }

// Error implements error.
func (e *UnknownMarketError) Error() string { return fmt.Sprintf("unknown market %q", e.Market) }

// Kind returns the kind of failure that is sent to callers.
func (e *UnknownMarketError) Kind() ggscore.FailureKind { return ggscore.FailureUnknownMarket }

// An UnknownServiceError reports a service that a market doesn't use.
type UnknownServiceError struct {
	Market  ggscore.Market
	Service ggscore.Service
}

// Error implements error.
func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("market %q uses no service %q", e.Market, e.Service)
}

// Kind returns the kind of failure that is sent to callers.
func (e *UnknownServiceError) Kind() ggscore.FailureKind { return ggscore.FailureUnknownService }

// An UnknownOperationError reports an operation that a plain service doesn't have.
type UnknownOperationError struct {
	Service   ggscore.Service
	Operation string
}

// Error implements error.
func (e *UnknownOperationError) Error() string {
	return fmt.Sprintf("service %q has no operation %q", e.Service, e.Operation)
}

// Kind returns the kind of failure that is sent to callers.
func (e *UnknownOperationError) Kind() ggscore.FailureKind { return ggscore.FailureUnknownService }

// An UnknownAdapterError reports an adapter or version that a market doesn't have.
type UnknownAdapterError struct {
	Market  ggscore.Market
	Adapter ggscore.AdapterRef
}

// Error implements error.
func (e *UnknownAdapterError) Error() string {
	return fmt.Sprintf("market %q has no adapter %q", e.Market, e.Adapter)
}

// Kind returns the kind of failure that is sent to callers.
func (e *UnknownAdapterError) Kind() ggscore.FailureKind { return ggscore.FailureUnknownAdapter }

// A BaseModelMismatchError reports that a service doesn't serve the base model of the
// adapter that a request names.
type BaseModelMismatchError struct {
	Service ggscore.Service
	Serves  ggscore.BaseModel
	Adapter ggscore.AdapterRef
	Needs   ggscore.BaseModel
}

// Error implements error.
func (e *BaseModelMismatchError) Error() string {
	return fmt.Sprintf("adapter %q needs base model %q, service %q serves %q", e.Adapter, e.Needs, e.Service, e.Serves)
}

// Kind returns the kind of failure that is sent to callers.
func (e *BaseModelMismatchError) Kind() ggscore.FailureKind { return ggscore.FailureUnknownAdapter }
