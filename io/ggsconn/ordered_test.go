package ggsconn_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"greengageslip/io/ggsconn"
)

const (
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 16 << 20
	// orderedTries is the number of connections in which the writer and the reader race for the error of a reset.
	orderedTries = 40
	// orderedTime bounds the time until a reader knows of the end.
	orderedTime = 2 * time.Second
	answerPart  = "part of an answer"
)

// An ending is what a peer does once it has sent a part of its answer to an upload that goes on.
type ending func(c *net.TCPConn)

func resets(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func closesUnread(c *net.TCPConn) { _ = c.Close() }

func endsAndReadsOn(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

func endsAndWaits(c *net.TCPConn) {
	_ = c.CloseWrite()
	<-time.NewTimer(3 * orderedTime / 2).C
	_ = c.Close()
}

// Guards against an answer without a length that counts as complete, as the write of its request has met the reset first.
func TestResetDuringAWriteIsNoEnd(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		ending ending
		tries  int
		want   error
	}{
		"reset":                         {ending: resets, tries: orderedTries, want: syscall.ECONNRESET},
		"closed with bytes unread":      {ending: closesUnread, tries: orderedTries, want: syscall.ECONNRESET},
		"ended, and the upload read":    {ending: endsAndReadsOn, tries: orderedTries},
		"ended, and the upload blocked": {ending: endsAndWaits, tries: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for range tc.tries {
				b, err := readDuringUpload(c, tc.ending)
				c.Assert(errors.Is(err, tc.want), qt.IsTrue, qt.Commentf("%q, %v", b, err))
				c.Assert(tc.want != nil || b == answerPart, qt.IsTrue, qt.Commentf("%q", b))
			}
		})
	}
}

// readDuringUpload reads all that a peer sends while an upload is written.
func readDuringUpload(c *qt.C, e ending) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(p, make([]byte, 1<<10))
		_, _ = io.WriteString(p, answerPart)
		if t, ok := p.(*net.TCPConn); ok {
			e(t)
		}
	}()
	d, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	n := ggsconn.DetectReset(d)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = n.Write(make([]byte, uploadBytes))
	}()
	c.Assert(n.SetReadDeadline(time.Now().Add(orderedTime)), qt.IsNil) //nolint:forbidigo // a deadline of the network
	b, err := io.ReadAll(n)
	_ = n.Close()
	<-written
	<-ended
	return string(b), err
}
