package ggstoml

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// decodeStrict decodes a TOML text into a value and rejects unknown keys. Its failures
// are *DecodeError.
func decodeStrict(source string, text []byte, into any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		return nil
	}
	var m *toml.StrictMissingError
	if errors.As(err, &m) && len(m.Errors) > 0 {
		return newDecodeError(source, &m.Errors[0], &UnknownKeyError{})
	}
	var e *toml.DecodeError
	if errors.As(err, &e) {
		detail := strings.TrimPrefix(e.Error(), "toml: ")
		return newDecodeError(source, e, &SyntaxError{Detail: detail})
	}
	return &DecodeError{Source: source, Cause: &SyntaxError{Detail: err.Error()}}
}

func newDecodeError(source string, e *toml.DecodeError, cause error) *DecodeError {
	line, column := e.Position()
	return &DecodeError{
		Source: source,
		Key:    strings.Join(e.Key(), "."),
		Line:   line,
		Column: column,
		Cause:  cause,
	}
}
