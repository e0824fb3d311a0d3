package ggsclaims

import (
	ggscore "greengageslip/core"
	"greengageslip/core/ggsclaim"
)

// badKeyFailure is the failure for a key without an issue time. Such a key can never be
// claimed, so its request has never run.
func badKeyFailure(err error) *ggscore.Failure {
	return &ggscore.Failure{Kind: ggscore.FailureBadRequest, Outcome: ggscore.OutcomeNotRun, Detail: err.Error()}
}

// futureKeyFailure is the failure for a key issued after the present time. A process whose
// clock is ahead may have accepted the key before.
func futureKeyFailure(err error, firstSend bool) *ggscore.Failure {
	o := ggscore.OutcomeUnknown
	if firstSend {
		o = ggscore.OutcomeNotRun
	}
	return &ggscore.Failure{Kind: ggscore.FailureBadRequest, Outcome: o, Detail: err.Error()}
}

func claimDecision(d ggsclaim.Decision, firstSend bool) (ggscore.ClaimDecision, error) {
	switch d.Kind {
	case ggsclaim.DecisionGranted:
		return ggscore.ClaimDecision{Answer: ggscore.ClaimGranted, ID: d.Grant.Text(), Before: d.Grant.Before}, nil
	case ggsclaim.DecisionReplay:
		return ggscore.ClaimDecision{Answer: ggscore.ClaimReplay, Result: claimResult(d)}, nil
	case ggsclaim.DecisionInProgress:
		return ggscore.ClaimDecision{Answer: ggscore.ClaimInProgress}, nil
	case ggsclaim.DecisionReused:
		return ggscore.ClaimDecision{Answer: ggscore.ClaimReused}, nil
	case ggsclaim.DecisionExpired:
		return ggscore.ClaimDecision{Answer: ggscore.ClaimExpired}, nil
	default:
		return ggscore.ClaimDecision{}, d.Failure(firstSend)
	}
}

func claimResult(d ggsclaim.Decision) ggscore.ClaimResult {
	if d.State != ggsclaim.StateDone {
		return ggscore.ClaimResult{Outcome: ggscore.OutcomeUnknown}
	}
	return ggscore.ClaimResult{
		Outcome:     ggscore.OutcomeDone,
		Status:      d.Result.Status,
		ContentType: d.Result.ContentType,
		Body:        d.Result.Body,
		Whole:       d.Result.Kept,
	}
}

func resultOf(r ggscore.ClaimResult) ggsclaim.Result {
	if r.Outcome != ggscore.OutcomeDone {
		return ggsclaim.Result{}
	}
	return ggsclaim.Result{Status: r.Status, ContentType: r.ContentType, Kept: r.Whole, Body: r.Body}
}

func stateOf(o ggscore.Outcome) ggsclaim.State {
	switch o {
	case ggscore.OutcomeDone:
		return ggsclaim.StateDone
	case ggscore.OutcomeNotRun:
		return ggsclaim.StateReleased
	case ggscore.OutcomeUnknown:
	}
	return ggsclaim.StateUnknown
}
