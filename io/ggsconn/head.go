package ggsconn

import (
	"net/http"
	"strings"

	"greengageslip/core/ggsanswer"
)

// CheckHead returns an *InvalidHeadError if the head of an answer can't be one of HTTP/1, although net/http accepts it. net/http
// ignores what a field means whose name holds a blank, so that the end of the body may be found in the wrong place.
func CheckHead(r *http.Response) error {
	if r.ProtoMajor != 1 || r.StatusCode < http.StatusContinue || r.StatusCode > ggsanswer.LastStatus {
		return &InvalidHeadError{Proto: r.Proto, Status: r.StatusCode}
	}
	for name := range r.Header {
		if strings.ContainsFunc(name, notInName) {
			return &InvalidHeadError{Proto: r.Proto, Status: r.StatusCode, Field: name}
		}
	}
	return nil
}

// notInName reports whether a character can't be in the name of a field.
func notInName(r rune) bool {
	const visible, special = "!~", "\"(),/:;<=>?@[\\]{}"
	return r < rune(visible[0]) || r > rune(visible[1]) || strings.ContainsRune(special, r)
}

// A strictTransport fails on answers whose heads are invalid.
type strictTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t strictTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	a, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err = CheckHead(a); err == nil && a.StatusCode < http.StatusOK {
		// Nobody has asked for another protocol.
		err = &InvalidHeadError{Proto: a.Proto, Status: a.StatusCode}
	}
	if err != nil {
		_ = a.Body.Close()
		return nil, err
	}
	return a, nil
}
