package ggsconfig

import (
	"bytes"
	"compress/gzip"
	"io"

	"greengageslip/core/ggsdocument"
)

// A packedText is a section's text, compressed. Adapters repeat the same keys
// and base models, so that a text shrinks to about a tenth, in the memory of
// the processes that serve it to others as well as between them.
type packedText []byte

func pack(text []byte) packedText {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(text) // a buffer takes all
	_ = w.Close()
	return b.Bytes()
}

// unpack returns the text. It reads no more than a section may hold: a broken
// peer could otherwise make this process fill its memory.
func unpack(p packedText) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(p))
	if err != nil {
		return nil, &BadPackError{Cause: err}
	}
	t, err := io.ReadAll(io.LimitReader(r, ggsdocument.MaxSectionBytes+1))
	if err != nil {
		return nil, &BadPackError{Cause: err}
	}
	if len(t) > ggsdocument.MaxSectionBytes {
		return nil, &BadPackError{Cause: &TooLargeError{Limit: ggsdocument.MaxSectionBytes}}
	}
	return t, nil
}
