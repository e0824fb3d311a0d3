package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// serve answers a chat as a gateway does, with the model and tokens that edit returns.
func serve(edit func(model, id string, tokens []string) (string, []string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q chatRequest
		if json.NewDecoder(r.Body).Decode(&q) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set(headerRequestID, "id-"+q.User)
		w.Header().Set(headerStall, "12ms")
		tokens := []string{}
		for i := range q.MaxTokens {
			tokens = append(tokens, fmt.Sprintf("%s/id-%s/%d ", q.Model, q.User, i))
		}
		model, tokens := edit(q.Model, "id-"+q.User, tokens)
		for i, t := range tokens {
			finish := ""
			if i == len(tokens)-1 {
				finish = "stop"
			}
			_, _ = fmt.Fprintf(w, "data: {\"model\":%q,\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":%q}]}\n\n", model, t, finish)
		}
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func newApp(out, errs io.Writer) *app {
	return &app{out: out, err: errs, clock: time.Now} //nolint:forbidigo // the tool runs on the machine's clock
}

// load runs ggsload against a handler and returns its exit code and result.
func load(c *qt.C, h http.Handler, args ...string) (int, *result) {
	s := httptest.NewServer(h)
	defer s.Close()
	out, errs := &bytes.Buffer{}, &bytes.Buffer{}
	a := newApp(out, errs)
	file := filepath.Join(c.TempDir(), "result.json")
	args = append([]string{
		"run", "--gateway", strings.TrimPrefix(s.URL, "http://"), "--rate", "200",
		"--duration", "250ms", "--out", file, "--adapters", "10", "--tokens", "3",
	}, args...)
	code := a.run(context.Background(), args)
	r, err := readResult(file)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", errs))
	return code, r
}

// Guards against a load test that counts another caller's answer, or a silently truncated one, as
// done. A tool that only counts statuses would not detect either.
func TestWrongAnswersAreDetected(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		edit func(model, id string, tokens []string) (string, []string)
		want string
	}{
		"complete answers": {edit: func(m, _ string, ts []string) (string, []string) { return m, ts }},
		"a missing token": {
			edit: func(m, _ string, ts []string) (string, []string) { return m, ts[:2] }, want: "2 tokens of 3",
		},
		"a repeated token": {
			edit: func(m, _ string, ts []string) (string, []string) { return m, []string{ts[0], ts[0], ts[2]} }, want: "where",
		},
		"another caller's answer": {
			edit: func(m, id string, ts []string) (string, []string) {
				ts[1] = strings.Replace(ts[1], id, "id-other", 1)
				return m, ts
			}, want: "id-other",
		},
		"another adapter": {
			edit: func(_, _ string, ts []string) (string, []string) { return "other@v1", ts }, want: "other@v1 answered for",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			code, r := load(c, serve(tc.edit))
			if tc.want == "" {
				c.Check(code, qt.Equals, exitOK, qt.Commentf("%s", r.FirstWrong))
				c.Check(r.Done, qt.Equals, r.Sent)
				c.Check(r.Stall.P50 >= 11_990 && r.Stall.P50 <= 12_020, qt.IsTrue)
				c.Check(r.FirstByte.Count, qt.Equals, int64(r.Sent))
				return
			}
			c.Check(code, qt.Equals, exitFailure)
			c.Check(r.Wrong, qt.Equals, r.Sent)
			c.Check(r.FirstWrong, qt.Contains, tc.want)
		})
	}
}

func TestOutcomesAreCounted(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		handler http.HandlerFunc
		kind    string
	}{
		"a refusal": {kind: "notRun.overLimit", handler: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = fmt.Fprint(w, `{"error":{"type":"overLimit","outcome":"notRun"}}`)
		}},
		"an error event": {kind: "unknown.broken", handler: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, "event: error\ndata: {\"error\":{\"type\":\"broken\",\"outcome\":\"unknown\"}}\n\n")
		}},
		"a connection that ends": {kind: "unknown.transport", handler: func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}},
		"a foreign error": {kind: "unknown.status500", handler: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			code, r := load(c, tc.handler)
			c.Check(code, qt.Equals, exitFailure)
			c.Check(r.Kinds[tc.kind], qt.Equals, r.Sent)
			c.Check(r.Sent > 0, qt.IsTrue)
		})
	}
}

// Guards against percentiles that don't show a stall of the system, because the tool waits for
// answers and sends nothing during the stall.
func TestSlowAnswersDontSlowArrivals(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var arrived atomic.Int32
	_, r := load(c, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The server detects a disconnected caller only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		arrived.Add(1)
		<-r.Context().Done()
	}), "--max-in-flight", "20", "--timeout", "2s", "--rate", "400")
	c.Check(arrived.Load(), qt.Equals, int32(20))
	c.Check(r.Sent, qt.Equals, 20)
	c.Check(r.Dropped > 20, qt.IsTrue)
}

func TestPlan(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	o := &runCommand{
		Gateways: []string{"a", "b"}, Markets: []string{"cr=3", "pa"}, Mix: []string{"stream=9", "once:custodia/release=1"},
		Rate: 1000, Duration: 10 * time.Second, Adapters: 100, Format: "x-%d@v1", Zipf: 1, Seed: 7,
		ShiftAt: 5 * time.Second, PeakAt: 9 * time.Second, PeakFor: time.Second, PeakFactor: 5,
	}
	one, err := newPlan(o)
	c.Assert(err, qt.IsNil)
	two, err := newPlan(o)
	c.Assert(err, qt.IsNil)
	before, after, peak, once := map[string]int{}, map[string]int{}, 0, 0
	for {
		q, ok := one.next()
		again, _ := two.next()
		c.Assert(again, qt.Equals, q)
		if !ok {
			break
		}
		switch {
		case q.due < o.ShiftAt:
			before[q.adapter]++
		case q.due < o.PeakAt:
			after[q.adapter]++
		default:
			peak++
		}
		if q.kind.once {
			once++
		}
	}
	c.Check(before["x-0@v1"] > 800, qt.IsTrue, qt.Commentf("%d", before["x-0@v1"]))
	c.Check(after["x-50@v1"] > 600, qt.IsTrue, qt.Commentf("%d", after["x-50@v1"]))
	c.Check(after["x-0@v1"] < 50, qt.IsTrue, qt.Commentf("%d", after["x-0@v1"]))
	c.Check(peak > 4500 && peak < 5500, qt.IsTrue, qt.Commentf("%d", peak))
	c.Check(once > 1100 && once < 1700, qt.IsTrue, qt.Commentf("%d", once))
}

func TestBadUsage(t *testing.T) {
	t.Parallel()
	for name, args := range map[string][]string{
		"no gateway":         {"run"},
		"bad gateway":        {"run", "--gateway", "localhost:1"},
		"excessive rate":     {"run", "--gateway", "127.0.0.1:1", "--rate", "1e9"},
		"excessive duration": {"run", "--gateway", "127.0.0.1:1", "--duration", "2h"},
		"bad mix":            {"run", "--gateway", "127.0.0.1:1", "--mix", "call:x"},
		"no result":          {"report"},
		"bad weight":         {"run", "--gateway", "127.0.0.1:1", "--market", "cr=0"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			a := newApp(&bytes.Buffer{}, &bytes.Buffer{})
			c.Check(a.run(context.Background(), args), qt.Equals, exitUsage)
		})
	}
}

func TestReport(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	dir := c.TempDir()
	file := filepath.Join(dir, "one.json")
	r := result{Name: "one", Sent: 3, Done: 3, Seconds: []secondResult{{StallP95: 1000}, {StallP95: 2000}}}
	c.Assert(writeResult(nil, file, &r), qt.IsNil)
	out := &bytes.Buffer{}
	a := newApp(out, out)
	table, picture := filepath.Join(dir, "t.csv"), filepath.Join(dir, "p.png")
	code := a.run(context.Background(), []string{"report", "--csv", table, "--png", picture, file})
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
	text, err := os.ReadFile(table)
	c.Assert(err, qt.IsNil)
	c.Check(string(text), qt.Contains, "one,0,3,3,0,0,0,0")
	png, err := os.ReadFile(picture)
	c.Assert(err, qt.IsNil)
	c.Check(bytes.HasPrefix(png, []byte("\x89PNG")), qt.IsTrue)
}
