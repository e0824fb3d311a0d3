package ggslog_test

import (
	"bytes"
	"context"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"greengageslip/io/ggslog"
)

// A blockedWriter blocks writes until the channel is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// Guards against requests that wait for a slow reader of the log. Lines are dropped instead, and one
// line has their number.
func TestSlowReaderDoesNotBlockWrites(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &blockedWriter{unblock: make(chan struct{})}
	w := ggslog.NewWriter(s)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 1500 {
		_, err := w.Write(line)
		c.Assert(err, qt.IsNil)
	}
	close(s.unblock)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx)
	c.Assert(strings.Count(s.b.String(), "\n"), qt.Equals, 1024+1)
	c.Assert(strings.HasSuffix(s.b.String(), "event=logDropped count=476\n"), qt.IsTrue)
}

// Guards against a log flooded with the same line, thousands of times per second, by a burst of
// refusals.
func TestRepeatedLinesAreSampled(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var b bytes.Buffer
	now := time.Unix(0, 0)
	l := ggslog.NewSampler(log.NewLogfmtLogger(&b), func() time.Time { return now })
	for range 1000 {
		c.Assert(l.Log("event", ggslog.EventRequestEnded), qt.IsNil)
	}
	c.Assert(l.Log("event", ggslog.EventListening), qt.IsNil)
	c.Assert(strings.Count(b.String(), "event=requestEnded"), qt.Equals, 300)
	c.Assert(strings.Count(b.String(), "event=listening"), qt.Equals, 1)
	now = now.Add(time.Second)
	b.Reset()
	c.Assert(l.Log("event", ggslog.EventRequestEnded), qt.IsNil)
	c.Assert(b.String(), qt.Equals, "event=logSampled sampled=requestEnded count=700\nevent=requestEnded\n")
}

// Guards against an event that the operators' documentation doesn't describe.
func TestEachEventIsDocumented(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b, err := os.ReadFile("../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	for _, e := range ggslog.Events() {
		c.Check(strings.Contains(string(b), "| `"+string(e)+"` |"), qt.IsTrue, qt.Commentf("%s", e))
	}
}
