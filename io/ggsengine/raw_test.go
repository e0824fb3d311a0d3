package ggsengine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"

	qt "github.com/frankban/quicktest"
)

// A rawEndpoint answers requests with raw bytes that the test chooses, so that answers can
// be malformed or truncated at any byte.
type rawEndpoint struct {
	addr     netip.AddrPort
	listener net.Listener
	// answer returns the bytes for the n-th request, counted from zero, and
	// whether the connection is closed after them.
	answer func(n int) (text string, closeAfter bool)
	wg     sync.WaitGroup

	mu sync.Mutex
	// reset is set if connections are reset instead of closed.
	reset    bool
	conns    []net.Conn
	requests []string
}

func newRawEndpoint(c *qt.C, answer func(n int) (string, bool)) *rawEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	e := &rawEndpoint{addr: netip.MustParseAddrPort(l.Addr().String()), listener: l, answer: answer}
	e.wg.Go(e.accept)
	c.Cleanup(func() {
		_ = l.Close()
		e.mu.Lock()
		for _, n := range e.conns {
			_ = n.Close()
		}
		e.mu.Unlock()
		e.wg.Wait()
	})
	return e
}

// seen returns the requests that were received completely, as "METHOD path".
func (e *rawEndpoint) seen() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.requests...)
}

// setReset sets whether connections are reset instead of closed.
func (e *rawEndpoint) setReset(reset bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset = reset
}

func (e *rawEndpoint) resets() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reset
}

func (e *rawEndpoint) accept() {
	for {
		n, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, n)
		e.mu.Unlock()
		e.wg.Go(func() { e.serve(n) })
	}
}

func (e *rawEndpoint) record(r *http.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, r.Method+" "+r.URL.Path)
	return len(e.requests) - 1
}

func (e *rawEndpoint) serve(n net.Conn) {
	defer func() { _ = n.Close() }()
	b := bufio.NewReader(n)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text, closeAfter := e.answer(e.record(r))
		_, err = io.WriteString(n, text)
		if t, ok := n.(*net.TCPConn); ok && closeAfter && e.resets() {
			_ = t.SetLinger(0)
		}
		if err != nil || closeAfter {
			return
		}
	}
}
