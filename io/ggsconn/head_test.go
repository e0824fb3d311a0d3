package ggsconn_test

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"greengageslip/io/ggsconn"
)

// Guards against answers that net/http accepts although their heads are none of HTTP/1, with bodies that end elsewhere.
func TestHeadsThatAreNoAnswers(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		answer http.Response
		fails  bool
	}{
		"usual":               {answer: http.Response{ProtoMajor: 1, StatusCode: 200, Header: http.Header{"Server-Stamp": {"a"}, "X!#$%&'*+-.^_`|~9": {"b"}}}},
		"informational":       {answer: http.Response{ProtoMajor: 1, StatusCode: 103}},
		"last status":         {answer: http.Response{ProtoMajor: 1, StatusCode: 599}},
		"odd values":          {answer: http.Response{ProtoMajor: 1, StatusCode: 200, Header: http.Header{"X": {"", " a\tb ", "\xff"}}}},
		"status 000":          {answer: http.Response{ProtoMajor: 1}, fails: true},
		"status 099":          {answer: http.Response{ProtoMajor: 1, StatusCode: 99}, fails: true},
		"status 600":          {answer: http.Response{ProtoMajor: 1, StatusCode: 600}, fails: true},
		"HTTP/2":              {answer: http.Response{ProtoMajor: 2, StatusCode: 200}, fails: true},
		"blank at the end":    {answer: http.Response{ProtoMajor: 1, StatusCode: 200, Header: http.Header{"Content-Length ": {"1"}}}, fails: true},
		"blank within":        {answer: http.Response{ProtoMajor: 1, StatusCode: 200, Header: http.Header{"X Y": {"1"}}}, fails: true},
		"control byte":        {answer: http.Response{ProtoMajor: 1, StatusCode: 200, Header: http.Header{"X\x01Y": {"1"}}}, fails: true},
		"delete":              {answer: http.Response{ProtoMajor: 1, StatusCode: 200, Header: http.Header{"X\x7f": {"1"}}}, fails: true},
		"byte above 127":      {answer: http.Response{ProtoMajor: 1, StatusCode: 200, Header: http.Header{"X\xe9": {"1"}}}, fails: true},
		"separator in a name": {answer: http.Response{ProtoMajor: 1, StatusCode: 200, Header: http.Header{"X(Y)": {"1"}}}, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var invalid *ggsconn.InvalidHeadError
			qt.Assert(t, errors.As(ggsconn.CheckHead(&tc.answer), &invalid), qt.Equals, tc.fails)
		})
	}
}
