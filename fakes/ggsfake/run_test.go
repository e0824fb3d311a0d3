package main

import (
	"bytes"
	"context"
	"io"
	"regexp"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A syncBuffer is a buffer that may be read while the program writes to it.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// String returns the bytes written so far.
func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func TestServesAndStops(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		args []string
		path string
		want string
	}{
		"platform": {args: []string{"platform"}, path: "/v1/kv?key=k", want: `{"key":"k","value":null,"revision":0,"lease":0}`},
		"engine":   {args: []string{"engine", "--id", "r1"}, path: "/v1/runs", want: `{"runs":[]}`},
		"plain":    {args: []string{"plain", "--id", "l1"}, path: "/v1/runs", want: `{"runs":[]}`},
		"link":     {args: []string{"link", "--from", "127.0.0.1:0", "--to", "127.0.0.1:1"}, path: "/v1/stats", want: `{"conns":0,"bytesToTarget":0,"bytesFromTarget":0}`},
		"weights":  {args: []string{"weights"}, path: "/v1/loads", want: `{"loads":0,"failures":0,"inTransit":0,"maxInTransit":0}`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			serving, stop := context.WithCancel(ctx)
			var logs syncBuffer
			code := make(chan int, 1)
			args := append(tc.args, "--listen", "127.0.0.1:0")
			go func() { code <- run(serving, args, io.Discard, &logs) }()
			addr := waitForAddr(ctx, c, &logs)
			var out bytes.Buffer
			c.Assert(run(ctx, []string{"call", "--addr", addr, "--path", tc.path}, &out, &logs), qt.Equals, exitDone)
			c.Assert(out.String(), qt.Equals, tc.want+"\n")
			stop()
			c.Assert(<-code, qt.Equals, exitDone)
			c.Assert(logs.String(), qt.Contains, "event=stopped service="+name)
		})
	}
}

func TestExitCodes(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		args []string
		want int
	}{
		"help":            {args: []string{"--help"}, want: exitDone},
		"no command":      {args: nil, want: exitUsage},
		"unknown command": {args: []string{"nothing"}, want: exitUsage},
		"bad address":     {args: []string{"platform", "--listen", "localhost:1"}, want: exitUsage},
		"no slots":        {args: []string{"engine", "--listen", "127.0.0.1:0", "--id", "r1", "--slots", "0"}, want: exitUsage},
		"no file":         {args: []string{"platform", "--listen", "127.0.0.1:0", "--vms", "testdata/none.json"}, want: exitFailed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			c.Assert(run(context.Background(), tc.args, io.Discard, io.Discard), qt.Equals, tc.want)
		})
	}
}

// waitForAddr returns the address in the log event listened.
func waitForAddr(ctx context.Context, c *qt.C, logs *syncBuffer) string {
	line := regexp.MustCompile(`event=listened .*addr=(\S+)`)
	for ctx.Err() == nil {
		m := line.FindStringSubmatch(logs.String())
		if m != nil {
			return m[1]
		}
		pause := time.NewTimer(time.Millisecond)
		<-pause.C
	}
	c.Fatalf("program logged no event listened: %s", logs.String())
	return ""
}
