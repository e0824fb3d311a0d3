package ggsnode

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
)

// Guards against a stream that was broken off inside an event and reaches its caller as complete.
func TestStreamThatEndsInsideAnEventIsIncomplete(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		framing ggsfakesite.Framing
		lineEnd string
	}{
		"ends with its connection, LF":   {framing: ggsfakesite.FramingClose, lineEnd: "\n"},
		"ends with its connection, CRLF": {framing: ggsfakesite.FramingClose, lineEnd: "\r\n"},
		"ends with its connection, CR":   {framing: ggsfakesite.FramingClose, lineEnd: "\r"},
		"ends with its last chunk":       {framing: ggsfakesite.FramingDefault, lineEnd: "\n"},
		"ends at its length":             {framing: ggsfakesite.FramingLength, lineEnd: "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 1)
			s.setFraming(tc.framing, tc.lineEnd)
			s.setFault("runner", always(ggsfakesite.FaultEndInsideEvent))
			r := s.call(0, http.MethodPost, "/chat/x", "", "Hola")
			s.c.Assert(r.status, qt.Equals, http.StatusOK)
			s.c.Assert(r.body, qt.Not(qt.Equals), "")
			s.c.Assert(r.complete, qt.IsFalse)
		})
	}
}

// Guards against a crashed endpoint's empty stream that reaches its caller as a complete answer.
func TestStreamThatEndsBeforeItsFirstEventFails(t *testing.T) {
	t.Parallel()
	s := startSite(t, 1)
	s.setFraming(ggsfakesite.FramingClose, "\n")
	s.setFault("runner", always(ggsfakesite.FaultEndEmpty))
	r := s.call(0, http.MethodPost, "/chat/x", "", "Hola")
	s.c.Assert(r.status, qt.Equals, http.StatusBadGateway)
	s.c.Assert(s.site.Runs()[r.id], qt.Equals, 1)
}

// Guards against whole answers that count as broken off because they end with their connection.
func TestWholeAnswersThatEndWithTheirConnectionAreForwarded(t *testing.T) {
	t.Parallel()
	s := startSite(t, 1)
	for name, lineEnd := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
		s.setFraming(ggsfakesite.FramingClose, lineEnd)
		for path, want := range map[string]string{"/chat/x": strings.Repeat(lineEnd, 2), "/pay/1": "\n", "/look/1": "\n"} {
			r := s.call(0, http.MethodPost, path, "", "{}")
			s.c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s, %s", path, name))
			s.c.Check(r.complete, qt.IsTrue, qt.Commentf("%s, %s", path, name))
			s.c.Check(strings.HasSuffix(r.body, want), qt.IsTrue, qt.Commentf("%s, %s: %q", path, name, r.body))
			s.c.Check(s.site.Runs()[r.id], qt.Equals, 1, qt.Commentf("%s, %s", path, name))
		}
	}
}

// Guards against a safe request that fails because its first endpoint's failure has no length.
func TestFailureWithoutALengthIsRetried(t *testing.T) {
	t.Parallel()
	s := startSite(t, 1)
	s.setFraming(ggsfakesite.FramingClose, "\n")
	s.setFault("ledger", failFirst(ggsfakesite.FaultError))
	r := s.call(0, http.MethodGet, "/look/1", "", "")
	s.c.Assert(r.status, qt.Equals, http.StatusOK)
	s.c.Assert(r.complete, qt.IsTrue)

	s.setFault("ledger", always(ggsfakesite.FaultError))
	r = s.call(0, http.MethodGet, "/look/1", "", "")
	s.c.Assert(r.status, qt.Equals, http.StatusInternalServerError)
	s.c.Assert(r.body, qt.Equals, "failed\n")
	s.c.Assert(r.complete, qt.IsTrue)
}

// Guards against a truncated answer of unknown length that needlessly breaks the caller's connection.
func TestTruncatedAnswerWithoutALength(t *testing.T) {
	t.Parallel()
	s := startSite(t, 1)
	s.setFraming(ggsfakesite.FramingClose, "\n")
	s.setFault("ledger", failFirst(ggsfakesite.FaultTruncate))
	r := s.call(0, http.MethodGet, "/look/1", "", "")
	s.c.Assert(r.status, qt.Equals, http.StatusOK)
	s.c.Assert(r.complete, qt.IsTrue)

	s.setFault("ledger", failFirst(ggsfakesite.FaultTruncate))
	r = s.call(0, http.MethodPost, "/pay/1", "", "{}")
	s.c.Assert(r.status, qt.Equals, http.StatusBadGateway)
	s.c.Assert(s.site.Runs()[r.id], qt.Equals, 1)
}

// setFraming sets the framing of all endpoints' answers.
func (s *siteTest) setFraming(f ggsfakesite.Framing, lineEnd string) {
	for _, e := range s.site.Endpoints {
		e.SetFraming(f, lineEnd)
	}
}
