package ggsevent

import "bytes"

// ScanLines is a bufio.SplitFunc that returns the lines of a stream without their ends. A CRLF
// returns an empty line more. A last line without its end was truncated and isn't returned.
func ScanLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if n := bytes.IndexAny(data, "\r\n"); n >= 0 {
		return n + 1, data[:n], nil
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}
