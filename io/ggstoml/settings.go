package ggstoml

import (
	"os"

	"github.com/cockroachdb/errors"
)

// A Checker is a settings struct that validates its values. Check returns a *ValueError
// whose Key is the path of the invalid value, such as "peers[0].address".
type Checker interface {
	Check() error
}

// ReadSettings reads a settings file into a struct with toml tags, and calls Check if the
// struct is a Checker. Its failures are *ReadError and *DecodeError, and errors of Check
// that aren't a *ValueError.
func ReadSettings(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return &ReadError{Source: path, Cause: err}
	}
	return DecodeSettings(path, text, into)
}

// DecodeSettings is like ReadSettings, for a text in memory. source is the name of the
// text in errors.
func DecodeSettings(source string, text []byte, into any) error {
	if err := decodeStrict(source, text, into); err != nil {
		return err
	}
	c, ok := into.(Checker)
	if !ok {
		return nil
	}
	err := c.Check()
	if err == nil {
		return nil
	}
	var v *ValueError
	if errors.As(err, &v) {
		return &DecodeError{Source: source, Key: v.Key, Line: locate(text, v.Key), Cause: v}
	}
	return err
}
