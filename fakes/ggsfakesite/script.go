package ggsfakesite

import (
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
	// the connection, it reads on scriptPause later.
	BeforeBody bool
	// Delay is the time until the text is sent.
	Delay time.Duration
	// Close ends the connection after the text, and Reset resets it.
	Close bool
	Reset bool
}

func (x *Script) notRun() bool { return x != nil && x.NotRun }

// scriptPause is the time after which an endpoint reads a body that it has answered before.
const scriptPause = time.Second

// scripted returns the script for requests whose body was read, or for those whose body wasn't.
func (e *Endpoint) scripted(beforeBody bool) *Script {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.script == nil || e.script.BeforeBody != beforeBody {
		return nil
	}
	return e.script
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
	pauseFor(x.Delay)
	_, _ = io.WriteString(c, strings.NewReplacer("$ID", id, "$STAMP", "stamp-of-"+e.options.ID).Replace(x.Text))
	if t, ok := c.(*net.TCPConn); ok && x.Reset {
		_ = t.SetLinger(0)
	}
	if x.Close || x.Reset {
		_ = c.Close()
		return
	}
	if x.BeforeBody {
		pauseFor(scriptPause)
		_, _ = io.Copy(io.Discard, rw)
		_ = c.Close()
		return
	}
	e.serveConn(c, rw.Reader)
}

func pauseFor(d time.Duration) {
	if d > 0 {
		t := time.NewTimer(d)
		<-t.C
	}
}
