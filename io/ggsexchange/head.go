package ggsexchange

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"greengageslip/io/ggsconn"
)

// http10 is how an answer of HTTP/1.0 begins.
const http10 = "HTTP/1.0"

// readHead reads the head of the final answer. It skips informational answers (1xx).
func readHead(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		// An error is that of the next read as well.
		if b, err := r.Peek(len(http10)); err == nil && string(b) == http10 {
			return readOldHead(r, req)
		}
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		if err := ggsconn.CheckHead(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, &ggsconn.InvalidHeadError{Proto: resp.Proto, Status: resp.StatusCode}
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// readOldHead reads the head of an answer of HTTP/1.0, which knows no transfer encodings. net/http drops such a field and takes the
// encoding for the body. The connection is used for no further answer.
func readOldHead(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	head, encoded, err := readLines(r)
	if err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(head), r)), req)
	if err != nil {
		return nil, err
	}
	if err := ggsconn.CheckHead(resp); err != nil {
		return nil, err
	}
	if encoded || resp.StatusCode < http.StatusOK {
		return nil, &ggsconn.InvalidHeadError{Proto: resp.Proto, Status: resp.StatusCode, Field: headerEncoding}
	}
	resp.Close = true
	return resp, nil
}

const headerEncoding = "Transfer-Encoding"

// readLines reads the lines of a head, and reports whether one is a transfer encoding. The connection's limit bounds the head.
func readLines(r *bufio.Reader) (head []byte, encoded bool, err error) {
	for {
		begin := len(head)
		for {
			part, err := r.ReadSlice('\n')
			head = append(head, part...)
			if err == nil {
				break
			}
			if !errors.Is(err, bufio.ErrBufferFull) {
				return nil, false, err
			}
		}
		line := strings.TrimRight(string(head[begin:]), "\r\n")
		if line == "" {
			return head, encoded, nil
		}
		name, _, _ := strings.Cut(line, ":")
		encoded = encoded || strings.EqualFold(name, headerEncoding)
	}
}
