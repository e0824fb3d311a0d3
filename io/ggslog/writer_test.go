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

// slow is a reader of the log that reads nothing until it is let.
type slow struct {
	let chan struct{}
	mu  sync.Mutex
	b   bytes.Buffer
}

func (s *slow) Write(p []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// Whoever reads the log is slow. Requests must not wait for it: lines are
// dropped, and one says how many.
func TestSlowReaderBlocksNobody(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &slow{let: make(chan struct{})}
	w := ggslog.NewWriter(s)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 1500 {
		_, err := w.Write(line)
		c.Assert(err, qt.IsNil)
	}
	close(s.let)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx)
	c.Assert(strings.Count(s.b.String(), "\n"), qt.Equals, 1024+1)
	c.Assert(strings.HasSuffix(s.b.String(), "event=logDropped count=476\n"), qt.IsTrue)
}

// A storm of refusals writes the same line thousands of times a second.
func TestRepeatedLinesAreSampled(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var b bytes.Buffer
	now := time.Unix(0, 0)
	l := ggslog.NewLimit(log.NewLogfmtLogger(&b), func() time.Time { return now })
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

// An engineer meets an event that no page explains.
func TestEachEventIsExplained(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b, err := os.ReadFile("../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	for _, e := range ggslog.Events() {
		c.Check(strings.Contains(string(b), "| `"+string(e)+"` |"), qt.IsTrue, qt.Commentf("%s", e))
	}
}
