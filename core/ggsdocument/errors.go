package ggsdocument

import (
	"fmt"
	"strconv"

	ggscore "greengageslip/core"
)

// A SectionError says that a section is not valid, on its own or beside the
// other sections. Key is the path of the value, such as
// adapters["deposits-es"].current. Line counts from one; zero means that it is
// not known.
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

// A MissingValueError says that a key must be set.
type MissingValueError struct{}

// Error implements error.
func (e *MissingValueError) Error() string { return "must be set" }

// An UnwantedValueError says that a key must not be set there.
type UnwantedValueError struct{ Where string }

// Error implements error.
func (e *UnwantedValueError) Error() string { return "must not be set for " + e.Where }

// An OutOfRangeError says that a value is out of its range.
type OutOfRangeError struct {
	Value string
	Want  string
}

// Error implements error.
func (e *OutOfRangeError) Error() string { return e.Value + " is out of range: want " + e.Want }

// A BadNameError says that a name has characters that names may not have.
type BadNameError struct{ Name string }

// Error implements error.
func (e *BadNameError) Error() string {
	return fmt.Sprintf("bad name %q: want letters, digits and . _ - only", e.Name)
}

// A DuplicateNameError says that a name is used twice.
type DuplicateNameError struct{ Name string }

// Error implements error.
func (e *DuplicateNameError) Error() string { return fmt.Sprintf("duplicate name %q", e.Name) }

// A DanglingServiceError says that a market uses a service that the section
// services doesn't have.
type DanglingServiceError struct{ Service ggscore.Service }

// Error implements error.
func (e *DanglingServiceError) Error() string {
	return fmt.Sprintf("no service %q in section services", e.Service)
}

// A DanglingVersionError says that an adapter's current version is not among
// its versions.
type DanglingVersionError struct{ Version ggscore.Version }

// Error implements error.
func (e *DanglingVersionError) Error() string {
	return fmt.Sprintf("version %q is not among the adapter's versions", e.Version)
}

// An UnservedBaseModelError says that none of the services that a market uses
// serves an adapter's base model.
type UnservedBaseModelError struct{ Base ggscore.BaseModel }

// Error implements error.
func (e *UnservedBaseModelError) Error() string {
	return fmt.Sprintf("no service of the market serves base model %q", e.Base)
}

// An UnknownSectionError says that a section's name is none of services,
// policy and market/NAME.
type UnknownSectionError struct{ Section ggscore.SectionName }

// Error implements error.
func (e *UnknownSectionError) Error() string {
	return fmt.Sprintf("unknown section %q: want services, policy or market/NAME", e.Section)
}

// A SectionConflictError says that a section was changed after the revision
// that the operator had read. Nothing was changed.
type SectionConflictError struct {
	Section ggscore.SectionName
	// ReadAt is the revision that the operator had read.
	ReadAt ggscore.Revision
	// Changed, By and Change describe the latest change of the section.
	Changed ggscore.Revision
	By      string
	Change  ChangeID
}

// Error implements error.
func (e *SectionConflictError) Error() string {
	return fmt.Sprintf("section %s was changed at revision %d by %s (change %s), after revision %d that was read",
		e.Section, e.Changed, e.By, e.Change, e.ReadAt)
}

// A FutureRevisionError says that an operator claims to have read a revision
// that the head doesn't have yet: the head stems from an older copy of the
// platform's data, or the revision is mistyped.
type FutureRevisionError struct {
	ReadAt ggscore.Revision
	Have   ggscore.Revision
}

// Error implements error.
func (e *FutureRevisionError) Error() string {
	return fmt.Sprintf("revision %d was read, but the platform's head is at revision %d", e.ReadAt, e.Have)
}

// A LowerHeadError says that a head was refused, since it is lower than the
// one in force.
type LowerHeadError struct {
	Offered ggscore.Revision
	Have    ggscore.Revision
}

// Error implements error.
func (e *LowerHeadError) Error() string {
	return fmt.Sprintf("head at revision %d refused: revision %d is in force", e.Offered, e.Have)
}

// A ForkedHeadError says that a head was refused, since it has the revision
// in force with other sections.
type ForkedHeadError struct{ Revision ggscore.Revision }

// Error implements error.
func (e *ForkedHeadError) Error() string {
	return fmt.Sprintf("head at revision %d refused: another one of that revision is in force", e.Revision)
}

// A DeltaError says that a delta doesn't fit the head that it was to be applied
// to.
type DeltaError struct {
	From ggscore.Revision
	To   ggscore.Revision
}

// Error implements error.
func (e *DeltaError) Error() string {
	return fmt.Sprintf("delta from revision %d to %d doesn't fit", e.From, e.To)
}

// A DigestError says that a section's text doesn't have the digest that it was
// pulled by.
type DigestError struct {
	Want ggscore.Digest
	Have ggscore.Digest
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("section has digest %x, expected %x", e.Have[:8], e.Want[:8])
}

// An UnknownMarketError says that the document has no such market.
type UnknownMarketError struct{ Market ggscore.Market }

// Error implements error.
func (e *UnknownMarketError) Error() string { return fmt.Sprintf("unknown market %q", e.Market) }

// Kind returns the failure's kind in public answers.
func (e *UnknownMarketError) Kind() ggscore.FailureKind { return ggscore.FailureUnknownMarket }

// An UnknownServiceError says that a market uses no such service.
type UnknownServiceError struct {
	Market  ggscore.Market
	Service ggscore.Service
}

// Error implements error.
func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("market %q uses no service %q", e.Market, e.Service)
}

// Kind returns the failure's kind in public answers.
func (e *UnknownServiceError) Kind() ggscore.FailureKind { return ggscore.FailureUnknownService }

// An UnknownOperationError says that a plain service has no such operation.
type UnknownOperationError struct {
	Service   ggscore.Service
	Operation string
}

// Error implements error.
func (e *UnknownOperationError) Error() string {
	return fmt.Sprintf("service %q has no operation %q", e.Service, e.Operation)
}

// Kind returns the failure's kind in public answers.
func (e *UnknownOperationError) Kind() ggscore.FailureKind { return ggscore.FailureUnknownService }

// An UnknownAdapterError says that a market has no such adapter or version.
type UnknownAdapterError struct {
	Market  ggscore.Market
	Adapter ggscore.AdapterRef
}

// Error implements error.
func (e *UnknownAdapterError) Error() string {
	return fmt.Sprintf("market %q has no adapter %q", e.Market, e.Adapter)
}

// Kind returns the failure's kind in public answers.
func (e *UnknownAdapterError) Kind() ggscore.FailureKind { return ggscore.FailureUnknownAdapter }

// A BaseModelMismatchError says that a service doesn't serve the base model of
// the adapter that a request names.
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

// Kind returns the failure's kind in public answers.
func (e *BaseModelMismatchError) Kind() ggscore.FailureKind { return ggscore.FailureUnknownAdapter }
