package ggsanswer_test

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"greengageslip/core/ggsanswer"
)

func TestJudge(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		answer ggsanswer.Answer
		want   ggsanswer.Verdict
		reason ggsanswer.Reason
	}{
		"success":                    {answer: ggsanswer.Answer{Status: 200, Identified: true, Signed: true}},
		"success for nobody":         {answer: ggsanswer.Answer{Status: 200, Signed: true}},
		"success unsigned":           {answer: ggsanswer.Answer{Status: 200, Identified: true}, reason: ggsanswer.ReasonUnsigned},
		"success encoded":            {answer: ggsanswer.Answer{Status: 200, Identified: true, Signed: true, Encoded: true}, reason: ggsanswer.ReasonEncoded},
		"success stated as not run":  {answer: ggsanswer.Answer{Status: 200, Identified: true, Signed: true, StatedNotRun: true}, reason: ggsanswer.ReasonContradictory},
		"failure":                    {answer: ggsanswer.Answer{Status: 500, Identified: true, Signed: true}},
		"failure stated as not run":  {answer: ggsanswer.Answer{Status: 500, Identified: true, Signed: true, StatedNotRun: true}, reason: ggsanswer.ReasonContradictory},
		"deadline stated as not run": {answer: ggsanswer.Answer{Status: 504, Identified: true, StatedNotRun: true}, reason: ggsanswer.ReasonContradictory},
		"failure unsigned":           {answer: ggsanswer.Answer{Status: 500, Identified: true}},
		"failure encoded":            {answer: ggsanswer.Answer{Status: 500, Identified: true, Signed: true, Encoded: true}, reason: ggsanswer.ReasonEncoded},
		"client error":               {answer: ggsanswer.Answer{Status: 400, Identified: true, Signed: true}},
		"client error unsigned":      {answer: ggsanswer.Answer{Status: 404, Identified: true}, reason: ggsanswer.ReasonUnsigned},
		"redirect":                   {answer: ggsanswer.Answer{Status: 302, Identified: true, Signed: true}},
		"redirect unsigned":          {answer: ggsanswer.Answer{Status: 302, Identified: true}, reason: ggsanswer.ReasonUnsigned},
		"refusal encoded":            {answer: ggsanswer.Answer{Status: 503, Identified: true, StatedNotRun: true, Encoded: true}, reason: ggsanswer.ReasonContradictory},
		"refusal":                    {answer: ggsanswer.Answer{Status: 503, Identified: true, StatedNotRun: true}, want: ggsanswer.NotRun},
		"refusal signed":             {answer: ggsanswer.Answer{Status: 429, Identified: true, Signed: true, StatedNotRun: true}, want: ggsanswer.NotRun},
		"refusal of another process": {answer: ggsanswer.Answer{Status: 421, Identified: true, StatedNotRun: true}, want: ggsanswer.NotRun},
		"refusal for nobody":         {answer: ggsanswer.Answer{Status: 503, StatedNotRun: true}, reason: ggsanswer.ReasonContradictory},
		"unavailable":                {answer: ggsanswer.Answer{Status: 503, Identified: true, Signed: true}, reason: ggsanswer.ReasonUnstated},
		"misdirected":                {answer: ggsanswer.Answer{Status: 421, Identified: true}, reason: ggsanswer.ReasonUnstated},
		"timeout":                    {answer: ggsanswer.Answer{Status: 408, Identified: true, Signed: true}, reason: ggsanswer.ReasonUnstated},
		"interim":                    {answer: ggsanswer.Answer{Status: 101, Identified: true, StatedNotRun: true}, reason: ggsanswer.ReasonStatus},
		"no class":                   {answer: ggsanswer.Answer{Status: 999, Identified: true, Signed: true}, reason: ggsanswer.ReasonStatus},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			v, err := ggsanswer.Judge(tc.answer)
			c.Assert(v, qt.Equals, tc.want)
			var invalid *ggsanswer.InvalidError
			if tc.reason == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(errors.As(err, &invalid), qt.IsTrue)
			c.Assert(invalid.Reason, qt.Equals, tc.reason)
		})
	}
}

// Guards against an answer that is forwarded as a promise, or taken for one, without the endpoint's refusal of
// the request.
func TestOnlyARefusalOfTheRequestShowsThatItHasNotRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for status := range 1000 {
		for flags := range 16 {
			a := ggsanswer.Answer{
				Status: status, Identified: flags&1 > 0, Signed: flags&2 > 0, StatedNotRun: flags&4 > 0, Encoded: flags&8 > 0,
			}
			v, err := ggsanswer.Judge(a)
			switch {
			case err != nil:
			case v == ggsanswer.NotRun:
				c.Check(a.StatedNotRun && a.Identified && !a.Encoded && status >= http.StatusBadRequest, qt.IsTrue, qt.Commentf("%+v", a))
			default:
				c.Check(ggsanswer.Promises(status) || a.StatedNotRun, qt.IsFalse, qt.Commentf("%+v", a))
			}
		}
	}
}
