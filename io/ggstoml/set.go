package ggstoml

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Set returns a TOML text with the value of one key replaced. The rest of the text stays
// the same, including comments. The key is a path as in DecodeError.Key. A value that
// isn't a TOML value is set as a string. A key that isn't set is added to its table. If
// that table doesn't exist or the key is a table, Set returns a *DecodeError.
func Set(source string, text []byte, key, value string) ([]byte, error) {
	var all map[string]any
	if err := decodeStrict(source, text, &all); err != nil {
		return nil, err
	}
	literal := literalOf(value)
	l := newLocator(text)
	if f, found := l.find(key); found {
		if f.end == 0 {
			return nil, &DecodeError{Source: source, Key: key, Line: f.line, Cause: &NotAValueError{}}
		}
		return splice(text, f.start, f.end, literal), nil
	}
	table, name := "", key
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		table, name = key[:i], key[i+1:]
	}
	if strings.ContainsAny(name, "[]\" ") || name == "" {
		return nil, &DecodeError{Source: source, Key: key, Cause: &NoSuchTableError{}}
	}
	line := name + " = " + literal + "\n"
	if table == "" {
		return splice(text, 0, 0, line), nil
	}
	f, found := l.find(table)
	if !found {
		return nil, &DecodeError{Source: source, Key: key, Cause: &NoSuchTableError{}}
	}
	if f.end != 0 {
		return nil, &DecodeError{Source: source, Key: key, Line: f.line, Cause: &NoSuchTableError{}}
	}
	at := offsetAfterLine(text, f.line)
	if at > 0 && text[at-1] != '\n' {
		line = "\n" + line
	}
	return splice(text, at, at, line), nil
}

// literalOf returns value if it is a single TOML value, else value as a TOML string.
func literalOf(value string) string {
	var w struct {
		Value any `toml:"value"`
	}
	err := toml.Unmarshal([]byte("value = "+value+"\n"), &w)
	if err != nil || strings.ContainsAny(value, "\r\n#") {
		return strconv.Quote(value)
	}
	return value
}

// offsetAfterLine returns the offset of the first byte after a line, counted from one.
func offsetAfterLine(text []byte, line int) int {
	at := 0
	for range line {
		i := bytes.IndexByte(text[at:], '\n')
		if i < 0 {
			return len(text)
		}
		at += i + 1
	}
	return at
}

func splice(text []byte, start, end int, s string) []byte {
	n := make([]byte, 0, len(text)+len(s))
	n = append(n, text[:start]...)
	n = append(n, s...)
	return append(n, text[end:]...)
}
