package ggsfakesite

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
)

// A Framing is how an endpoint shows the end of its answers.
type Framing int

// The framings.
const (
	// FramingDefault is the length of plain answers, and chunks for streams.
	FramingDefault Framing = iota
	// FramingLength is the length of all answers.
	FramingLength
	// FramingClose is the end of the connection.
	FramingClose
)

// SetFraming sets the framing of answers and what ends the lines of streams.
func (e *Endpoint) SetFraming(f Framing, lineEnd string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.framing, e.lineEnd = f, lineEnd
}

// A body is the body of an answer. After abort, which ends the handler, the caller can't take the
// answer for complete.
type body struct {
	w     io.Writer
	flush func()
	end   func()
	abort func()
	// left is closed when the caller has closed the connection.
	left <-chan struct{}
}

// newBody sends an answer's head and returns its body of the given length.
func newBody(w http.ResponseWriter, r *http.Request, f Framing, status, length int) *body {
	streamed := w.Header().Get("Content-Type") == "text/event-stream"
	if f == FramingClose {
		if b := takeOver(w, status); b != nil {
			return b
		}
	}
	if f == FramingLength || !streamed {
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	w.WriteHeader(status)
	c := http.NewResponseController(w)
	return &body{
		w: w, flush: func() { _ = c.Flush() }, end: func() {}, left: r.Context().Done(),
		abort: func() { panic(http.ErrAbortHandler) },
	}
}

// takeOver takes the connection from the server, and sends an answer's head without any framing.
func takeOver(w http.ResponseWriter, status int) *body {
	h, ok := w.(http.Hijacker)
	if !ok {
		return nil
	}
	c, rw, err := h.Hijack()
	if err != nil {
		return nil
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		_, _ = io.Copy(io.Discard, rw)
	}()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = w.Header().Write(c)
	_, _ = io.WriteString(c, "\r\n")
	return &body{
		w: c, flush: func() {}, end: func() { _ = c.Close() }, left: left,
		abort: func() {
			if t, ok := c.(*net.TCPConn); ok {
				// A reset, as a close in order would end the answer.
				_ = t.SetLinger(0)
			}
			_ = c.Close()
			panic(http.ErrAbortHandler)
		},
	}
}

func (b *body) write(text string) {
	_, _ = io.WriteString(b.w, text)
	b.flush()
}
