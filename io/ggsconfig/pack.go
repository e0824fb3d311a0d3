package ggsconfig

import (
	"bytes"
	"compress/gzip"
	"io"

	"greengageslip/core/ggsdocument"
)

// A packedText is a text compressed with gzip. Sections repeat the same keys and base
// models for each adapter, so compression reduces them to about a tenth. Processes keep
// the sections that they serve to peers in this form.
type packedText []byte

func pack(text []byte) packedText {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(text) // writes to a buffer don't fail
	_ = w.Close()
	return b.Bytes()
}

// unpack decompresses a text. It reads at most MaxSectionBytes+1 bytes, so that an answer
// of a faulty peer can't exhaust this process's memory.
func unpack(p packedText) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(p))
	if err != nil {
		return nil, &DecompressionError{Cause: err}
	}
	t, err := io.ReadAll(io.LimitReader(r, ggsdocument.MaxSectionBytes+1))
	if err != nil {
		return nil, &DecompressionError{Cause: err}
	}
	if len(t) > ggsdocument.MaxSectionBytes {
		return nil, &DecompressionError{Cause: &TooLargeError{Limit: ggsdocument.MaxSectionBytes}}
	}
	return t, nil
}
