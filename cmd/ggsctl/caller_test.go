package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"greengageslip/fakes/ggsfakeengine"
)

// shownHeaders are the headers of an answer that a transcript shows. The value of
// Retry-After is replaced, since it depends on the queue.
func shownHeaders() []string { return []string{"Content-Type", "X-Served-Model", "Retry-After"} }

// A callerRequest is a caller's request, parsed from the command
//
//	post LABEL PATH [HEADER=VALUE]... BODY
//
// BODY is a text, or <FILE, or *N for N bytes.
type callerRequest struct {
	shown   string
	url     string
	headers map[string]string
	body    []byte
}

func parsePost(ts *testscript.TestScript, args []string) callerRequest {
	s := sessionOf(ts)
	last := args[len(args)-1]
	r := callerRequest{
		shown:   s.stable("post " + strings.Join(quoted(args), " ")),
		url:     "http://" + s.expand(args[0]) + args[1],
		headers: map[string]string{"X-Market": "cr", "X-Service": "asistente"},
		body:    []byte(last),
	}
	for _, h := range args[2 : len(args)-1] {
		n, v, _ := strings.Cut(h, "=")
		r.headers[n] = s.expand(v)
	}
	var n int
	if _, err := fmt.Sscanf(last, "*%d", &n); err == nil {
		r.body = bytes.Repeat([]byte("x"), n)
	} else if f, found := strings.CutPrefix(last, "<"); found {
		r.body = []byte(ts.ReadFile(f))
	}
	return r
}

// send sends the request and returns the answer as text.
func (r callerRequest) send() string {
	ctx, cancel := context.WithTimeout(context.Background(), sessionDeadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url, bytes.NewReader(r.body))
	if err != nil {
		return err.Error() + "\n"
	}
	for n, v := range r.headers {
		q.Header.Set(n, v)
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return err.Error() + "\n"
	}
	defer func() { _ = a.Body.Close() }()
	var b strings.Builder
	fmt.Fprintln(&b, a.Status)
	for _, h := range shownHeaders() {
		switch v := a.Header.Get(h); {
		case v == "":
		case h == "Retry-After":
			fmt.Fprintln(&b, h+": SECONDS")
		default:
			fmt.Fprintln(&b, h+": "+v)
		}
	}
	text, err := io.ReadAll(a.Body)
	t := retryMillis.ReplaceAllString(strings.TrimRight(string(text), "\n"), `"retryAfterMillis":MILLIS`)
	b.WriteString(retryAfter.ReplaceAllString(t, "retry after DURATION") + "\n")
	if err != nil {
		fmt.Fprintln(&b, err)
	}
	return b.String()
}

// post sends a caller's request and shows the answer.
func post(ts *testscript.TestScript, _ bool, args []string) {
	r := parsePost(ts, args)
	sessionOf(ts).show(r.shown, r.send())
}

// begin sends a caller's request without waiting: begin NAME post LABEL ….
func begin(ts *testscript.TestScript, _ bool, args []string) {
	r := parsePost(ts, args[2:])
	c := make(chan string, 1)
	sessionOf(ts).pending[args[0]] = c
	sessionOf(ts).show("begin "+args[0]+": "+r.shown, "")
	go func() { c <- r.send() }()
}

// finish waits for the answer to a pending request and shows it.
func finish(ts *testscript.TestScript, _ bool, args []string) {
	sessionOf(ts).show("finish "+args[0], <-sessionOf(ts).pending[args[0]])
}

// awaitRunning waits until the runner has started a number of requests: running N.
func awaitRunning(ts *testscript.TestScript, _ bool, args []string) {
	var n uint64
	_, err := fmt.Sscan(args[0], &n)
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), sessionDeadline)
	defer cancel()
	t := time.NewTicker(time.Millisecond)
	defer t.Stop()
	for sessionOf(ts).deployed.engine.Stats().Started < n {
		select {
		case <-ctx.Done():
			ts.Fatalf("the runner has not started %d requests in time", n)
		case <-t.C:
		}
	}
}

// stopProcess stops a process gracefully and shows its exit code.
func stopProcess(ts *testscript.TestScript, _ bool, args []string) {
	code := sessionOf(ts).deployed.stops[args[0]]()
	sessionOf(ts).show("drain "+args[0], fmt.Sprintf("[exit %d]\n", code))
}

// show adds a command and its output to the transcript.
func (s *session) show(command, text string) {
	fmt.Fprintf(&s.transcript, "$ %s\n%s", command, s.stable(text))
}

// truncateStreams makes the runner truncate every stream after two tokens.
func truncateStreams(ts *testscript.TestScript, _ bool, _ []string) {
	sessionOf(ts).deployed.engine.SetFaults(ggsfakeengine.Faults{CutStreamAfter: 2})
	sessionOf(ts).show("cut streams after two tokens", "")
}
