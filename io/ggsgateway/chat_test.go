package ggsgateway

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestModelIsReplaced(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct{ body, want string }{
		"first":            {`{"model":"a","n":1}`, `{"model":"b@v1","n":1}`},
		"last":             {` { "n" : [1, {"model":"a"}] , "model" : "a" } `, ` { "n" : [1, {"model":"a"}] , "model" : "b@v1" } `},
		"twice":            {`{"model":"a","n":"x","model":"c"}`, `{"model":"b@v1","n":"x","model":"b@v1"}`},
		"another spelling": {`{"Model":"a"}`, `{"model":"b@v1","Model":"a"}`},
		"an escaped name":  {`{"mod\u0065l":"a"}`, `{"mod\u0065l":"b@v1"}`},
		"long numbers":     {`{"seed":12345678901234567890,"model":"a"}`, `{"seed":12345678901234567890,"model":"b@v1"}`},
		"not an object":    {`["model"]`, ``},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			b, err := replaceModel([]byte(tc.body), []byte(`"b@v1"`))
			c.Assert(err == nil, qt.Equals, tc.want != "", qt.Commentf("%v", err))
			c.Assert(string(b), qt.Equals, tc.want)
		})
	}
}
