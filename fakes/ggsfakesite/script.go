package ggsfakesite

import (
	"io"
	"net"
	"net/http"
	"strings"
)

// A Script is an answer that an endpoint sends byte for byte. In its text, $ID and $STAMP are replaced.
type Script struct {
	Text string
	// NotRun is set if the endpoint doesn't run the request.
	NotRun bool
	// Close ends the connection after the text, and Reset resets it.
	Close bool
	Reset bool
}

// SetScript lets the endpoint send a script in answer to each request, or no longer if it is nil.
func (e *Endpoint) SetScript(x *Script) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = x
}

// answerScript sends a script, and serves the connection's further requests unless the script ends it.
func (e *Endpoint) answerScript(w http.ResponseWriter, id string, x *Script) {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, strings.NewReplacer("$ID", id, "$STAMP", "stamp-of-"+e.options.ID).Replace(x.Text))
	if t, ok := c.(*net.TCPConn); ok && x.Reset {
		_ = t.SetLinger(0)
	}
	if x.Close || x.Reset {
		_ = c.Close()
		return
	}
	e.serveConn(c, rw.Reader)
}
