package ggsevent

import "bytes"

// ScanLines is a bufio.SplitFunc that returns the lines of a stream without their ends. A CRLF
// returns an empty line more. The last line is returned also if its end is missing.
func ScanLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if n := bytes.IndexAny(data, "\r\n"); n >= 0 {
		return n + 1, data[:n], nil
	}
	if atEOF && len(data) > 0 {
		return len(data), data, nil
	}
	return 0, nil, nil
}
