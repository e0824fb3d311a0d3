package main

import (
	"strconv"
	"time"

	"greengageslip/io/ggslog"
)

// A loss is how a request missed what its route wants, or that it didn't.
type loss string

// The losses, in the order of a report's columns.
const (
	lossNone loss = "inTime"
	// lossLoad, lossTurn and lossFirst are first pieces that came late, by the part
	// of the way that took longest: the wait for the adapter, for the prompt's turn,
	// or the endpoint's own work.
	lossLoad  loss = "load"
	lossTurn  loss = "turn"
	lossFirst loss = "first"
	// lossPause is a pause between two pieces that was too long.
	lossPause loss = "pause"
	// lossBroken is an answer that broke off after it had begun.
	lossBroken loss = "broken"
	// lossRefused is an answer that the request has not run, lossFailed one that it
	// may have, or an endpoint's failure that was passed on.
	lossRefused loss = "refused"
	lossFailed  loss = "failed"
	// lossLeft is a caller that left before the end.
	lossLeft loss = "left"
)

func losses() []loss {
	return []loss{lossNone, lossLoad, lossTurn, lossFirst, lossPause, lossBroken, lossRefused, lossFailed, lossLeft}
}

// A journey is what the logs tell of a request: where it was sent last, and its end.
type journey struct {
	sent logLine
	end  logLine
}

// add takes a line of the request.
func (j *journey) add(l logLine) {
	switch l.event {
	case ggslog.EventRequestSent:
		j.sent = l
	case ggslog.EventRequestEnded, ggslog.EventCallerLeft:
		j.end = l
	case ggslog.EventAnswerBroken:
		if l.keys["begun"] == "true" {
			j.end = l
		}
	}
}

// loss returns how the request missed what its route wants.
func (j *journey) loss() loss {
	k := j.end.keys
	switch j.end.event {
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
	return j.late()
}

// late returns which part of the way made an answer late. A first piece that came too
// late goes before a pause.
func (j *journey) late() loss {
	first, target := duration(j.end.keys["first"]), duration(j.end.keys["target"])
	if target <= 0 || first <= target {
		if aim := duration(j.end.keys["gapAim"]); aim > 0 && duration(j.end.keys["gap"]) > aim {
			return lossPause
		}
		return lossNone
	}
	waited, turn := duration(j.sent.keys["waited"]), duration(j.sent.keys["turnWait"])
	work := first - waited
	switch load := waited - turn; {
	case load >= turn && load >= work:
		return lossLoad
	case turn >= work:
		return lossTurn
	}
	return lossFirst
}

// duration reads a duration of a line, zero where there is none.
func duration(t string) time.Duration {
	d, err := time.ParseDuration(t)
	if err != nil {
		return 0
	}
	return d
}
