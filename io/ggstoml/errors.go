package ggstoml

import (
	"fmt"
	"strconv"
)

// A DecodeError reports that a TOML text can't be decoded, or that one of its values is
// not allowed. Line and Column count from one; zero means unknown.
type DecodeError struct {
	// Source is the file's path or the section's name.
	Source string
	Key    string
	Line   int
	Column int
	Cause  error
}

// Error implements error.
func (e *DecodeError) Error() string {
	s := e.Source
	if e.Line > 0 {
		s += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		s += ": " + e.Key
	}
	return s + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// A SyntaxError reports that a text isn't valid TOML, or that a value has the wrong type.
type SyntaxError struct{ Detail string }

// Error implements error.
func (e *SyntaxError) Error() string { return e.Detail }

// An UnknownKeyError reports a key that isn't defined in its table.
type UnknownKeyError struct{}

// Error implements error.
func (e *UnknownKeyError) Error() string { return "unknown key" }

// A NotAValueError reports that a key is a table, which Set can't replace.
type NotAValueError struct{}

// Error implements error.
func (e *NotAValueError) Error() string { return "is a table, not a value" }

// A NoSuchTableError reports that the table of a key to set doesn't exist.
type NoSuchTableError struct{}

// Error implements error.
func (e *NoSuchTableError) Error() string { return "no such table" }

// A BadDurationError reports that a text isn't a duration.
type BadDurationError struct{ Text string }

// Error implements error.
func (e *BadDurationError) Error() string {
	return fmt.Sprintf("bad duration %q: want a text such as \"250ms\" or \"5s\"", e.Text)
}

// A BadChoiceError reports that a text isn't one of the allowed values.
type BadChoiceError struct {
	Text string
	Want string
}

// Error implements error.
func (e *BadChoiceError) Error() string { return fmt.Sprintf("bad value %q: want %s", e.Text, e.Want) }

// A ValueError reports that a setting's value isn't allowed. Implementations of Checker
// return it, and DecodeSettings adds the source and the line.
type ValueError struct {
	Key  string
	Want string
}

// Error implements error.
func (e *ValueError) Error() string { return "want " + e.Want }

// A TooLargeError reports that a text is larger than allowed.
type TooLargeError struct {
	Bytes int
	Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("text of %d bytes exceeds the limit of %d bytes", e.Bytes, e.Limit)
}

// A ReadError reports that a file can't be read.
type ReadError struct {
	Source string
	Cause  error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("can't read %s: %v", e.Source, e.Cause) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }
