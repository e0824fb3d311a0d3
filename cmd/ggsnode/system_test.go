package ggsnode_test

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const chatPath = "/v1/chat/completions"

func chat(model string) string {
	return `{"model":"` + model + `","stream":true,"messages":[{"role":"user","content":"hola"}]}`
}

func TestStreamedAnswer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBench(t)
	b.engine("runner-1", "a", nil)
	b.document()
	b.dispatcher(1, "a")
	g := b.gateway(1, "a")
	for model, want := range map[string]string{"deposits": "deposits@v1", "deposits@v2": "deposits@v2", "disputes@v7": "disputes@v7"} {
		status, h, text := b.post(g, chatPath, chat(model))
		c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
		c.Assert(h.Get("X-Served-Model"), qt.Equals, want)
		c.Assert(strings.HasSuffix(text, "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf("%s", text))
		c.Assert(strings.Count(text, want), qt.Not(qt.Equals), 0)
	}
}
