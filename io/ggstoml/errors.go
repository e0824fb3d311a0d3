package ggstoml

import (
	"fmt"
	"strconv"
)

// A DecodeError says that a TOML text can't be decoded, or that one of its
// values is out of range. Line and Column count from one; zero means that they
// are not known.
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

// A SyntaxError says that a text is not TOML, or that a value has the wrong
// type.
type SyntaxError struct{ Detail string }

// Error implements error.
func (e *SyntaxError) Error() string { return e.Detail }

// An UnknownKeyError says that a key has no meaning there.
type UnknownKeyError struct{}

// Error implements error.
func (e *UnknownKeyError) Error() string { return "unknown key" }

// A NotAValueError says that a key is a table, which can't be set.
type NotAValueError struct{}

// Error implements error.
func (e *NotAValueError) Error() string { return "is a table, not a value" }

// A NoSuchTableError says that the table which a key is to be set in isn't
// there.
type NoSuchTableError struct{}

// Error implements error.
func (e *NoSuchTableError) Error() string { return "no such table" }

// A BadDurationError says that a text is no duration.
type BadDurationError struct{ Text string }

// Error implements error.
func (e *BadDurationError) Error() string {
	return fmt.Sprintf("bad duration %q: want a text such as \"250ms\" or \"5s\"", e.Text)
}

// A BadChoiceError says that a text is none of the allowed ones.
type BadChoiceError struct {
	Text string
	Want string
}

// Error implements error.
func (e *BadChoiceError) Error() string { return fmt.Sprintf("bad value %q: want %s", e.Text, e.Want) }

// A ValueError says that a setting's value is not allowed. A Check method
// returns it; ReadSettings adds file and line.
type ValueError struct {
	Key  string
	Want string
}

// Error implements error.
func (e *ValueError) Error() string { return "want " + e.Want }

// A TooLargeError says that a text is larger than allowed.
type TooLargeError struct {
	Bytes int
	Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%d bytes, at most %d are allowed", e.Bytes, e.Limit)
}

// A ReadError says that a file can't be read.
type ReadError struct {
	Source string
	Cause  error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("can't read %s: %v", e.Source, e.Cause) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }
