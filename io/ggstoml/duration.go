package ggstoml

import "time"

// A Duration is a time.Duration decoded from text such as "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return &BadDurationError{Text: string(text)}
	}
	*d = Duration(v)
	return nil
}
