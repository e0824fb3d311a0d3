package main

import (
	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggstoml"
)

type exitCode int

// The exit codes.
const (
	exitOK       exitCode = 0
	exitFailure  exitCode = 1
	exitUsage    exitCode = 2
	exitConflict exitCode = 3
	exitUnknown  exitCode = 4
)

// codeOf returns the exit code for a failure. An unknown outcome takes precedence,
// since its cause may be any other failure.
func codeOf(err error) exitCode {
	var shown *shownError
	var request *requestError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &shown):
		return shown.code
	case isA[*ggsconfig.UnknownOutcomeError](err):
		return exitUnknown
	case errors.As(err, &request):
		return request.code()
	case isA[*ggsdocument.SectionConflictError](err):
		return exitConflict
	case isUsage(err):
		return exitUsage
	}
	return exitFailure
}

// code returns the exit code of a failed request.
func (e *requestError) code() exitCode {
	if e.outcome == ggscore.OutcomeUnknown.String() {
		return exitUnknown
	}
	switch ggscore.FailureKind(e.kind) {
	case ggscore.FailureBadRequest, ggscore.FailureTooLarge, ggscore.FailureUnknownMarket,
		ggscore.FailureUnknownAdapter, ggscore.FailureUnknownService:
		return exitUsage
	case ggscore.FailureKeyReused, ggscore.FailureKeyInUse, ggscore.FailureKeyExpired:
		return exitConflict
	default:
		return exitFailure
	}
}

func isUsage(err error) bool {
	return isA[*usageError](err) || isA[*ggsdocument.SectionError](err) || isA[*ggstoml.DecodeError](err) ||
		isA[*ggstoml.ReadError](err) || isA[*ggsconfig.NoSectionError](err)
}

// isA reports whether an error of type E is in err's chain.
func isA[E error](err error) bool {
	var e E
	return errors.As(err, &e)
}
