package ggsconfig

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"greengageslip/core/ggsdocument"
)

func TestPack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	text := bytes.Repeat([]byte("a"), ggsdocument.MaxSectionBytes)
	back, err := unpack(pack(text))
	c.Assert(err, qt.IsNil)
	c.Assert(bytes.Equal(back, text), qt.IsTrue)

	for name, p := range map[string]packedText{
		"not gzip":  []byte("text"),
		"truncated": pack(text)[:50],
		"too large": pack(append(text, 'a')),
		"empty":     nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			_, err := unpack(p)
			var bad *DecompressionError
			c.Assert(errors.As(err, &bad), qt.IsTrue)
		})
	}
}
