package main

import (
	"bufio"
	"context"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"

	"greengageslip/io/ggslog"
)

const explainLong = `Explains how a request was handled, from the logs of the
processes that handled it: each decision, the data behind it and its result.
FILEs are logs, "-" is standard input.`

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

type explainCommand struct {
	Args struct {
		Request string   `positional-arg-name:"REQUEST"`
		Files   []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// A logLine is one parsed line of a log.
type logLine struct {
	at    time.Time
	event ggslog.Event
	keys  map[string]string
}

func (c *explainCommand) run(_ context.Context, a *app) error {
	var lines []logLine
	for _, f := range c.Args.Files {
		l, err := a.readLog(f, c.Args.Request)
		if err != nil {
			return err
		}
		lines = append(lines, l...)
	}
	if len(lines) == 0 {
		return &noRequestError{request: c.Args.Request, files: c.Args.Files}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		if err := a.printf("%8s  %s: %s\n", "+"+l.at.Sub(lines[0].at).Round(time.Millisecond).String(), l.keys["vm"], l.describe()); err != nil {
			return err
		}
	}
	return a.printf("so: %s\n", verdict(lines))
}

// readLog returns the lines of a log that have the request's id.
func (a *app) readLog(name, request string) ([]logLine, error) {
	var lines []logLine
	err := a.scanLog(name, "request="+request, func(l logLine) {
		if l.keys["request"] == request {
			lines = append(lines, l)
		}
	})
	return lines, err
}

// scanLog calls f for each line of a log that contains the given text. The name "-" stands for
// standard input.
func (a *app) scanLog(name, text string, f func(logLine)) error {
	r := a.streams.in
	if name != "-" {
		o, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "reading a log")
		}
		defer func() { _ = o.Close() }()
		r = o
	}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		t := s.Text()
		if !strings.Contains(t, text) {
			continue
		}
		// A log collector may have put a prefix before the line.
		if i := strings.Index(t, "ts="); i > 0 {
			t = t[i:]
		}
		if l, ok := parseLine(t); ok {
			f(l)
		}
	}
	return errors.Wrap(s.Err(), "reading a log")
}

// parseLine parses one line. ok is false unless the line consists of key=value pairs
// with a time and an event.
func parseLine(t string) (l logLine, ok bool) {
	l.keys = map[string]string{}
	d := logfmt.NewDecoder(strings.NewReader(t))
	if !d.ScanRecord() {
		return l, false
	}
	for d.ScanKeyval() {
		l.keys[string(d.Key())] = string(d.Value())
	}
	at, err := time.Parse(time.RFC3339Nano, l.keys["ts"])
	if err != nil || d.Err() != nil {
		return l, false
	}
	l.at, l.event = at, ggslog.Event(l.keys["event"])
	return l, l.event != ""
}

// describe returns a sentence for a line.
func (l *logLine) describe() string {
	k := l.keys
	switch l.event {
	case ggslog.EventRequestSent:
		s := "sent to " + k["endpoint"] + " by route " + k["route"] + ", which had " + k["inFlight"] + " requests in flight"
		if k["adapter"] != "" {
			s += "; " + k["adapter"] + map[bool]string{true: " was resident there", false: " was loaded for it"}[k["resident"] == "true"]
		}
		return s + "; " + k["left"] + " of the deadline remained"
	case ggslog.EventEndpointRefused:
		return k["endpoint"] + " answered " + k["status"] + " and did not run it"
	case ggslog.EventAttemptFailed:
		return k["endpoint"] + " did not answer (outcome " + k["outcome"] + "): " + k["err"]
	case ggslog.EventAnswerBroken:
		s := "the answer of " + k["endpoint"] + " was invalid"
		if k["begun"] == "true" {
			s = "the answer of " + k["endpoint"] + " was truncated"
		}
		return s + ": " + k["err"]
	case ggslog.EventAbandonedBroken:
		return k["endpoint"] + " broke off after the time limit: " + k["err"]
	case ggslog.EventLoadFailed:
		return k["adapter"] + " could not be loaded at " + k["endpoint"] + ": " + k["err"]
	case ggslog.EventCallerLeft:
		return "the caller left after " + k["took"] + " and " + k["sends"] + " sends"
	case ggslog.EventRequestEnded:
		if k["endpoint"] != "" {
			return "passed on the answer of " + k["endpoint"] + ", status " + k["status"] + ", after " + k["took"]
		}
		return "answered " + k["status"] + " after " + k["took"] + ": " + k["why"]
	}
	return string(l.event)
}

// lastBefore returns the last line, without those of an event that may come after a request's end.
func lastBefore(lines []logLine, e ggslog.Event) logLine {
	for len(lines) > 1 && lines[len(lines)-1].event == e {
		lines = lines[:len(lines)-1]
	}
	return lines[len(lines)-1]
}

// verdict summarizes the lines of a request.
func verdict(lines []logLine) string {
	last := lastBefore(lines, ggslog.EventAbandonedBroken)
	cause := ""
	for _, l := range lines {
		switch l.event {
		case ggslog.EventAttemptFailed, ggslog.EventAnswerBroken, ggslog.EventEndpointRefused, ggslog.EventLoadFailed:
			cause = "; before that, " + l.describe()
		}
	}
	switch last.event {
	case ggslog.EventRequestEnded:
		if status := last.keys["status"]; last.keys["endpoint"] != "" && status < "400" {
			return "served with status " + status + cause
		} else if last.keys["endpoint"] != "" {
			return last.keys["endpoint"] + " failed it with status " + status + ", which was passed on" + cause
		}
		if last.keys["runs"] == "0" {
			return "not run: " + last.keys["why"] + cause
		}
		return "may have run: " + last.keys["why"] + cause
	case ggslog.EventCallerLeft:
		return "the caller left" + cause
	case ggslog.EventAnswerBroken:
		return "the caller got a truncated answer and could detect the truncation" + cause
	}
	return "the request has no end in these logs: the process was killed, or the logs end too early" + cause
}
