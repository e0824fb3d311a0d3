package ggsgateway

import (
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/gin-gonic/gin"

	ggscore "greengageslip/core"
)

// Guards against an answer that reaches the caller with chunks missing or repeated. It
// happens when a reply from the dispatcher is processed twice and the next one is lost.
func TestChunksOutOfOrderAreNotForwarded(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct{ first, second int }{
		"skipped":  {0, 2},
		"repeated": {0, 0},
		"late":     {1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := httptest.NewRecorder()
			g, _ := gin.CreateTestContext(w)
			a := &answer{c: g, stream: true}
			err := a.add(ggscore.Chunk{Seq: tc.first, Data: []byte("a")}, 0)
			if err == nil {
				err = a.add(ggscore.Chunk{Seq: tc.second, Data: []byte("b")}, 0)
			}
			var p *ChunkOrderError
			c.Assert(errors.As(err, &p), qt.IsTrue)
			c.Assert(w.Body.String(), qt.Not(qt.Contains), "b")
		})
	}
}
