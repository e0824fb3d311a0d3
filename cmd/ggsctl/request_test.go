package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a truncated answer that is printed as complete because its connection ended.
func TestRequestShowsWhetherTheAnswerWasComplete(t *testing.T) {
	t.Parallel()
	const events = "Content-Type: text/event-stream\r\n\r\n"
	const event = `data: {"choices":[{"delta":{"content":"Hola"}}]}`
	for name, tc := range map[string]struct {
		answer string
		code   exitCode
	}{
		"stream, LF":                     {answer: events + event + "\n\ndata: [DONE]\n\n"},
		"stream, CRLF":                   {answer: events + event + "\r\n\r\ndata: [DONE]\r\n\r\n"},
		"stream, CR":                     {answer: events + event + "\r\rdata: [DONE]\r\r"},
		"stream without its last event":  {answer: events + event + "\n\n", code: exitUnknown},
		"stream that ends inside a line": {answer: events + event + "\n\ndata: [DONE]", code: exitUnknown},
		"object":                         {answer: "\r\n" + `{"choices":[{"message":{"content":"Hola"}}]}`},
		"object that isn't ended":        {answer: "\r\n" + `{"choices":[{"message":{"content":"Hola"}}`, code: exitUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				n, _, err := http.NewResponseController(w).Hijack()
				c.Check(err, qt.IsNil)
				_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\n"+tc.answer)
				_ = n.Close()
			}))
			t.Cleanup(s.Close)
			var out, failure strings.Builder
			code := run(context.Background(), []string{
				"request", "--gateway", strings.TrimPrefix(s.URL, "http://"), "--market", "cr", "--service", "asistente",
				"--model", "deposits-es", "--message", "Hola", "--stream",
			}, streams{in: strings.NewReader(""), out: &out, err: &failure})
			c.Check(code, qt.Equals, int(tc.code), qt.Commentf("%s", failure.String()))
			if tc.code == exitOK {
				c.Check(out.String(), qt.Equals, "Hola\n")
			}
		})
	}
}
