package ggsfakesite

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// answerRaw writes an answer to the connection itself, so that a fault may add or change any byte,
// and serves the connection's further requests.
func (e *Endpoint) answerRaw(w http.ResponseWriter, id string, first int, f Fault) {
	h := w.Header()
	h.Set("Server-Stamp", "stamp-of-"+e.options.ID)
	if f == FaultEncoded {
		h.Set("Content-Encoding", "gzip")
	}
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	answer := e.wholeAnswer(h, id, first)
	switch f {
	case FaultInformational:
		answer = "HTTP/1.1 103 Early Hints\r\nLink: </hint>\r\n\r\n" + answer
	case FaultStrayBytes:
		answer += "stray\r\n\r\n"
	case FaultSecondAnswer:
		answer += answer
	case FaultNotHTTP:
		answer = "no answer\r\n\r\n"
	default:
	}
	if f == FaultPieces {
		for i := range len(answer) {
			_, _ = io.WriteString(c, answer[i:i+1])
		}
	} else {
		_, _ = io.WriteString(c, answer)
	}
	if f == FaultLateAnswer {
		if _, err := rw.Peek(1); err == nil {
			_, _ = io.WriteString(c, answer)
		}
	}
	e.serveConn(c, rw.Reader)
}

// wholeAnswer returns the head and body of the whole answer. A stream begins with the event of index
// first.
func (e *Endpoint) wholeAnswer(h http.Header, id string, first int) string {
	var text strings.Builder
	if e.options.Engine {
		h.Set("Content-Type", "text/event-stream")
		for n := first; n < e.options.Events; n++ {
			text.WriteString(e.event(n, id, "\n"))
		}
	} else {
		text.WriteString("answer to " + id + " by " + e.options.ID + "\n")
	}
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", text.Len())
	_ = h.Write(&b)
	b.WriteString("\r\n" + text.String())
	return b.String()
}

// serveConn serves the requests on a connection that was taken from its server.
func (e *Endpoint) serveConn(c net.Conn, r *bufio.Reader) {
	l := &connListener{conns: make(chan net.Conn, 1), done: make(chan struct{}), addr: c.LocalAddr()}
	l.conns <- &bufferedConn{Conn: c, r: r, closed: l.close}
	v := &http.Server{Handler: e, ReadHeaderTimeout: entryInterval * 25}
	// The listener ends with its only connection.
	_ = v.Serve(l)
}

// A bufferedConn is a connection of which some bytes were read already.
type bufferedConn struct {
	net.Conn
	r      *bufio.Reader
	closed func()
}

// Read implements net.Conn.
func (c *bufferedConn) Read(b []byte) (int, error) { return c.r.Read(b) }

// Close implements net.Conn.
func (c *bufferedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// A connListener accepts one connection and ends with it.
type connListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
	addr  net.Addr
}

var _ net.Listener = (*connListener)(nil)

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.close()
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.addr }

func (l *connListener) close() { l.once.Do(func() { close(l.done) }) }
