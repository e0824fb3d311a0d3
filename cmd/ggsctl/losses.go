package main

import (
	"strconv"
	"time"

	"greengageslip/io/ggslog"
)

// A loss says why a request missed the objectives of its route, or lossNone if it met them.
type loss string

// The losses, in the order of a report's columns.
const (
	// lossNone is a request that met its route's objectives.
	lossNone loss = "inTime"
	// lossLoad, lossTurn and lossFirst are late first chunks, by the step that took
	// longest: the wait for the adapter's load, the wait until the prompt may be sent
	// (its turn), or the endpoint's own work.
	lossLoad  loss = "load"
	lossTurn  loss = "turn"
	lossFirst loss = "first"
	// lossGap is a gap between two chunks that was too long.
	lossGap loss = "pause"
	// lossBroken is a truncated answer.
	lossBroken loss = "broken"
	// lossRefused is an answer for a request that has not run. lossFailed is an answer
	// for one that may have run, or a forwarded failure of an endpoint.
	lossRefused loss = "refused"
	lossFailed  loss = "failed"
	// lossLeft is a caller that disconnected before the end.
	lossLeft loss = "left"
)

func losses() []loss {
	return []loss{lossNone, lossLoad, lossTurn, lossFirst, lossGap, lossBroken, lossRefused, lossFailed, lossLeft}
}

// A trace holds the lines of a request's last send and of its end.
type trace struct {
	sent logLine
	end  logLine
}

// add adds a line of the request.
func (t *trace) add(l logLine) {
	switch l.event {
	case ggslog.EventRequestSent:
		t.sent = l
	case ggslog.EventRequestEnded, ggslog.EventCallerLeft:
		t.end = l
	case ggslog.EventAnswerBroken:
		if l.keys["begun"] == "true" {
			t.end = l
		}
	}
}

// loss classifies the request.
func (t *trace) loss() loss {
	k := t.end.keys
	switch t.end.event {
	case ggslog.EventCallerLeft:
		return lossLeft
	case ggslog.EventAnswerBroken:
		return lossBroken
	}
	switch status, err := strconv.Atoi(k["status"]); {
	case err != nil || status >= 500 && status != 503:
		return lossFailed
	case status == 503 && k["endpoint"] == "":
		return lossRefused
	case status >= 400:
		return lossFailed
	}
	return t.latency()
}

// latency classifies a successful answer by its latency: the step that delayed the
// first chunk, else a gap that was too long. A late first chunk takes precedence.
func (t *trace) latency() loss {
	first, target := duration(t.end.keys["first"]), duration(t.end.keys["target"])
	if target <= 0 || first <= target {
		if targetGap := duration(t.end.keys["gapAim"]); targetGap > 0 && duration(t.end.keys["gap"]) > targetGap {
			return lossGap
		}
		return lossNone
	}
	waited, turn := duration(t.sent.keys["waited"]), duration(t.sent.keys["turnWait"])
	work := first - waited
	switch load := waited - turn; {
	case load >= turn && load >= work:
		return lossLoad
	case turn >= work:
		return lossTurn
	}
	return lossFirst
}

// duration parses a duration of a line. It is zero if absent or malformed.
func duration(t string) time.Duration {
	d, err := time.ParseDuration(t)
	if err != nil {
		return 0
	}
	return d
}
