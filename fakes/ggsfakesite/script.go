package ggsfakesite

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// A Script is an answer that an endpoint sends byte for byte. In its text, $ID and $STAMP are replaced.
type Script struct {
	Text string
	// NotRun is set if the endpoint doesn't run the request.
	NotRun bool
	// BeforeBody is set if the endpoint sends the text before it has read the request's body. Unless the script ends
	// the connection, it reads on scriptPause later, and serves the connection's further requests.
	BeforeBody bool
	// Delay is the time until the text is sent.
	Delay time.Duration
	// Again is sent after the text, AgainAfter later.
	Again      string
	AgainAfter time.Duration
	// Close ends the connection after the text, and Reset resets it. HalfClose ends it in one direction, and reads on.
	Close     bool
	Reset     bool
	HalfClose bool
}

func (x *Script) notRun() bool { return x != nil && x.NotRun }

// scriptPause is the time after which an endpoint reads a body that it has answered before.
const scriptPause = time.Second

// SetScript lets the endpoint send a script in answer to each request, or no longer if it is nil.
func (e *Endpoint) SetScript(x *Script) { e.SetScripts(func(Query) *Script { return x }) }

// SetScripts sets the function that chooses the script of each request, nil for none.
func (e *Endpoint) SetScripts(f func(Query) *Script) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.scripts = f
}

// SetMisdirected lets the endpoint send a script in answer to each request for another process, or its usual refusal if it is nil.
func (e *Endpoint) SetMisdirected(x *Script) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.misdirected = x
}

// script returns the script for a request, nil for none.
func (e *Endpoint) script(r *http.Request) *Script {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.scriptCount++
	return e.scripts(Query{ID: r.Header.Get("Request-Id"), Path: r.URL.Path, Number: e.scriptCount})
}

// answerEarly sends a script before the request's body was read.
func (e *Endpoint) answerEarly(w http.ResponseWriter, r *http.Request, x *Script) {
	id := r.Header.Get("Request-Id")
	e.mu.Lock()
	if !x.NotRun {
		e.runs[id]++
	}
	e.mu.Unlock()
	c, rw := e.sendScript(w, id, x)
	if c == nil {
		return
	}
	pauseFor(scriptPause)
	b, err := io.ReadAll(io.LimitReader(rw, r.ContentLength))
	if err != nil || int64(len(b)) < r.ContentLength {
		_ = c.Close()
		return
	}
	e.mu.Lock()
	e.bodies[id] = string(b)
	e.mu.Unlock()
	e.serveConn(c, rw.Reader)
}

// answerScript sends a script, and serves the connection's further requests unless the script ends it.
func (e *Endpoint) answerScript(w http.ResponseWriter, id string, x *Script) {
	if c, rw := e.sendScript(w, id, x); c != nil {
		e.serveConn(c, rw.Reader)
	}
}

// sendScript sends a script, and returns the connection unless the script ends it.
func (e *Endpoint) sendScript(w http.ResponseWriter, id string, x *Script) (net.Conn, *bufio.ReadWriter) {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, nil
	}
	text := strings.NewReplacer("$ID", id, "$STAMP", "stamp-of-"+e.options.ID)
	pauseFor(x.Delay)
	_, _ = io.WriteString(c, text.Replace(x.Text))
	if x.Again != "" {
		pauseFor(x.AgainAfter)
		_, _ = io.WriteString(c, text.Replace(x.Again))
	}
	if t := tcpConn(c); t != nil && x.Reset {
		_ = t.SetLinger(0)
	}
	if t := tcpConn(c); t != nil && x.HalfClose {
		_ = t.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
	if x.Close || x.Reset || x.HalfClose {
		_ = c.Close()
		return nil, nil
	}
	return c, rw
}

// tcpConn returns the TCP connection that c is or wraps, nil for none.
func tcpConn(c net.Conn) *net.TCPConn {
	for {
		b, ok := c.(*bufferedConn)
		if !ok {
			t, _ := c.(*net.TCPConn)
			return t
		}
		c = b.Conn
	}
}

func pauseFor(d time.Duration) {
	if d > 0 {
		t := time.NewTimer(d)
		<-t.C
	}
}
