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

const explainLong = `Tells what became of a request, from the logs of the
processes that met it: what each decided, by what it went, and how that ended.
FILEs are logs, "-" is standard input.`

// lineBytes bounds a line of a log.
const lineBytes = 1 << 20

type explainCommand struct {
	Args struct {
		Request string   `positional-arg-name:"REQUEST"`
		Files   []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// A logLine is one line of a log.
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
		if err := a.printf("%8s  %s: %s\n", "+"+l.at.Sub(lines[0].at).Round(time.Millisecond).String(), l.keys["vm"], l.story()); err != nil {
			return err
		}
	}
	return a.printf("so: %s\n", verdict(lines))
}

// readLog returns the lines of a log that bear the request's identity.
func (a *app) readLog(name, request string) ([]logLine, error) {
	var lines []logLine
	err := a.scanLog(name, "request="+request, func(l logLine) {
		if l.keys["request"] == request {
			lines = append(lines, l)
		}
	})
	return lines, err
}

// scanLog hands on the lines of a log that contain a text; "-" is standard input.
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
	s.Buffer(nil, lineBytes)
	for s.Scan() {
		t := s.Text()
		if !strings.Contains(t, text) {
			continue
		}
		// What collects the lines may have put words of its own before them.
		if i := strings.Index(t, "ts="); i > 0 {
			t = t[i:]
		}
		if l, ok := parseLine(t); ok {
			f(l)
		}
	}
	return errors.Wrap(s.Err(), "reading a log")
}

// parseLine reads one line. ok is false where it isn't one of key=value pairs
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

// story tells a line in words.
func (l *logLine) story() string {
	k := l.keys
	switch l.event {
	case ggslog.EventRequestSent:
		s := "sent to " + k["endpoint"] + " by route " + k["route"] + ", which had " + k["inFlight"] + " requests in flight"
		if k["adapter"] != "" {
			s += "; " + k["adapter"] + map[bool]string{true: " was resident there", false: " was loaded for it"}[k["resident"] == "true"]
		}
		return s + "; " + k["left"] + " were left"
	case ggslog.EventEndpointRefused:
		return k["endpoint"] + " answered " + k["status"] + " and did not run it"
	case ggslog.EventAttemptFailed:
		return k["endpoint"] + " gave no answer (outcome " + k["outcome"] + "): " + k["err"]
	case ggslog.EventAnswerBroken:
		s := "the answer of " + k["endpoint"] + " was unfit"
		if k["begun"] == "true" {
			s = "the answer of " + k["endpoint"] + " broke off after it had begun"
		}
		return s + ": " + k["err"]
	case ggslog.EventLoadFailed:
		return k["adapter"] + " could not be had at " + k["endpoint"] + ": " + k["err"]
	case ggslog.EventCallerLeft:
		return "the caller left after " + k["took"] + ", " + k["sends"] + " endpoints had been asked"
	case ggslog.EventRequestEnded:
		if k["endpoint"] != "" {
			return "passed on the answer of " + k["endpoint"] + ", status " + k["status"] + ", after " + k["took"]
		}
		return "answered " + k["status"] + " after " + k["took"] + ": " + k["why"]
	}
	return string(l.event)
}

// verdict says what the lines come to.
func verdict(lines []logLine) string {
	last := lines[len(lines)-1]
	cause := ""
	for _, l := range lines {
		switch l.event {
		case ggslog.EventAttemptFailed, ggslog.EventAnswerBroken, ggslog.EventEndpointRefused, ggslog.EventLoadFailed:
			cause = "; before that, " + l.story()
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
		return "it may have run: " + last.keys["why"] + cause
	case ggslog.EventCallerLeft:
		return "the caller left" + cause
	case ggslog.EventAnswerBroken:
		return "the caller got a part of an answer and saw that it broke off" + cause
	}
	return "no end in these logs: the process was killed, or they stop too early" + cause
}
