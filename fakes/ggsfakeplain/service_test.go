package ggsfakeplain_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakeplain"
)

// Checks that a repeated call runs again and that the second run appears in its answer and in
// the counts. A refused call isn't counted.
func TestSession(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := ggsfakeplain.New(ggsfakeplain.Options{ID: "ledger-1"}).Handler()
	for _, s := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"POST", "/release", "{}", 200, `{"endpoint":"ledger-1","path":"/release","key":"k","request":"q","count":1}`},
		{"POST", "/v1/faults", `{"refuse":1}`, 200, `{"loseAnswers":0,"slow":"","refuse":1}`},
		{"POST", "/release", "{}", 503, `{"error":{"kind":"refused","outcome":"notRun","detail":"refused by fault injection (refuse)"}}`},
		{"POST", "/release", "{}", 200, `{"endpoint":"ledger-1","path":"/release","key":"k","request":"q","count":2}`},
		{"GET", "/release", "", 405, `{"error":{"kind":"badCall","detail":"method not allowed: calls must use POST"}}`},
		{"POST", "/v1/faults", `{"slow":"long"}`, 400, `{"error":{"kind":"badCall","detail":"time: invalid duration \"long\""}}`},
		{"GET", "/v1/runs", "", 200, `{"runs":[{"key":"k","request":"q","count":2}]}`},
	} {
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(context.Background(), s.method, s.path, strings.NewReader(s.body))
		r.Header.Set("Idempotency-Key", "k")
		r.Header.Set("X-Request-Id", "q")
		h.ServeHTTP(w, r)
		c.Assert(w.Code, qt.Equals, s.status)
		c.Assert(w.Body.String(), qt.Equals, s.want)
	}
}

// Checks that a call whose answer is lost has run. The connection is closed without an answer.
func TestLostAnswerCountsAsRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	p := ggsfakeplain.New(ggsfakeplain.Options{})
	p.SetFaults(ggsfakeplain.Faults{LoseAnswers: 1})
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/x", http.NoBody)
	c.Assert(func() { p.Handler().ServeHTTP(httptest.NewRecorder(), r) }, qt.PanicMatches, http.ErrAbortHandler.Error())
	c.Assert(p.Runs(), qt.DeepEquals, map[ggsfakeplain.Run]int{{}: 1})
}
