// Package ggsevent follows the framing of event streams (text/event-stream).
//
// # Usage
//
//	var p ggsevent.Position
//	p.Advance(chunk) // for each chunk of the stream
//	if p.InsideEvent() {
//		// a stream that ends here was truncated
//	}
//
//	n, ended := p.Next(chunk) // n bytes belong to the current event
//
//	s := bufio.NewScanner(r)
//	s.Split(ggsevent.ScanLines)
//
// A line ends with LF, CR or CRLF, and an event with a blank line. Comments belong to no event.
// The package only looks at lines, never at the fields of an event.
package ggsevent

// byteOrderMark may precede the first line of a stream.
const byteOrderMark = "\xef\xbb\xbf"

// A Position is a position in an event stream. The zero value is the start of a stream.
type Position struct {
	// mark is the number of bytes of the byte order mark that were read, and pastMark is set after
	// the first other byte.
	mark     int
	pastMark bool
	// inLine is set inside a line, and inComment if that line is a comment.
	inLine    bool
	inComment bool
	// afterCR is set if the last byte was a CR. An LF after it belongs to the same line end.
	afterCR bool
	// inEvent is set if a line of an event has ended since the last blank line, and inBlock if any
	// line has.
	inEvent bool
	inBlock bool
	events  int
}

// Advance moves the position past the bytes.
func (p *Position) Advance(b []byte) {
	for _, c := range b {
		p.step(c)
	}
}

// Next moves the position past the next blank line that ends an event, or a block of comments, and
// returns the number of bytes up to there. Without such a line, it moves past all bytes.
func (p *Position) Next(b []byte) (n int, ended bool) {
	for n, c := range b {
		if !p.step(c) {
			continue
		}
		n++
		if c == '\r' && n < len(b) && b[n] == '\n' {
			p.step(b[n])
			n++
		}
		return n, true
	}
	return len(b), false
}

// InsideEvent reports whether the position is inside an event or inside a line.
func (p *Position) InsideEvent() bool { return p.inEvent || p.inLine }

// Events returns the number of complete events before the position.
func (p *Position) Events() int { return p.events }

// step moves the position past a byte and reports whether the byte ended a block of lines.
func (p *Position) step(c byte) bool {
	if !p.pastMark && p.skipMark(c) {
		return false
	}
	afterCR := p.afterCR
	p.afterCR = c == '\r'
	switch {
	case c == '\n' && afterCR:
	case c == '\n' || c == '\r':
		return p.endLine()
	case !p.inLine:
		p.inLine, p.inComment = true, c == ':'
	}
	return false
}

// skipMark reports whether a byte belongs to the stream's byte order mark.
func (p *Position) skipMark(c byte) bool {
	if p.mark < len(byteOrderMark) && c == byteOrderMark[p.mark] {
		p.mark++
		return true
	}
	p.pastMark = true
	return false
}

// endLine ends a line and reports whether it ended a block of lines.
func (p *Position) endLine() bool {
	if p.inLine {
		p.inLine = false
		p.inBlock = true
		p.inEvent = p.inEvent || !p.inComment
		return false
	}
	ended := p.inBlock
	if p.inEvent {
		p.events++
	}
	p.inBlock, p.inEvent = false, false
	return ended
}
