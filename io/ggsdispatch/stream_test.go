package ggsdispatch

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	ggscore "greengageslip/core"
)

func fixedClock() time.Time { return time.Unix(1000, 0) }

func chunk(s string) ggscore.Chunk { return ggscore.Chunk{Data: []byte(s)} }

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Guards against missing or repeated chunks in an answer. They occur when the connection
// to the gateway fails after chunks were sent and before they were received. Whichever
// replies are lost, the gateway must get all chunks once and in order.
func TestStreamIsCompleteWhicheverRepliesAreLost(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		s := newStream(fixedClock())
		var want, got bytes.Buffer
		next, ended := 0, false
		r.Repeat(map[string]func(*rapid.T){
			"append": func(r *rapid.T) {
				if ended {
					r.Skip("ended")
				}
				c := chunk(rapid.StringN(1, 8, -1).Draw(r, "data"))
				c.Final = rapid.IntRange(0, 9).Draw(r, "final") == 0
				ended = c.Final
				want.Write(c.Data)
				if err := s.append(context.Background(), c); err != nil {
					r.Fatal(err)
				}
			},
			"read": func(r *rapid.T) {
				chunks, lost := s.next(cancelledContext(), fixedClock, next)
				if lost {
					r.Fatal("chunk lost")
				}
				if rapid.Bool().Draw(r, "replyLost") {
					return
				}
				for _, c := range chunks {
					if c.Seq != next {
						r.Fatalf("got chunk %d, want chunk %d", c.Seq, next)
					}
					got.Write(c.Data)
					next++
				}
			},
			"": func(r *rapid.T) {
				if !bytes.HasPrefix(want.Bytes(), got.Bytes()) {
					r.Fatal("received bytes are not a prefix of the answer")
				}
			},
		})
		chunks, _ := s.next(cancelledContext(), fixedClock, next)
		for _, c := range chunks {
			got.Write(c.Data)
		}
		if !bytes.Equal(want.Bytes(), got.Bytes()) {
			r.Fatal("received bytes differ from the answer")
		}
	})
}

// Guards against an answer without its middle. It happens when a gateway requests a chunk
// that was acknowledged before and gets a later chunk instead.
func TestStreamReportsChunksThatAreNotHeld(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newStream(fixedClock())
	c.Assert(s.append(context.Background(), chunk("a")), qt.IsNil)
	c.Assert(s.append(context.Background(), chunk("b")), qt.IsNil)
	_, lost := s.next(cancelledContext(), fixedClock, 1)
	c.Assert(lost, qt.IsFalse)
	_, lost = s.next(cancelledContext(), fixedClock, 0)
	c.Assert(lost, qt.IsTrue)
	_, lost = s.next(cancelledContext(), fixedClock, 3)
	c.Assert(lost, qt.IsTrue)
}

// Guards against a dispatcher that runs out of memory, which fails all requests of its
// runners. It happens when the dispatcher holds a whole long answer for a slow caller.
func TestStreamOfASlowReaderBlocksTheEndpoint(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newStream(fixedClock())
	big := chunk(string(make([]byte, maxUnreadBytes)))
	c.Assert(s.append(context.Background(), big), qt.IsNil)
	c.Assert(s.append(cancelledContext(), chunk("b")), qt.ErrorIs, context.Canceled)

	var w sync.WaitGroup
	w.Go(func() { _ = s.append(context.Background(), chunk("b")) })
	_, _ = s.next(cancelledContext(), fixedClock, 1)
	w.Wait()
	got, lost := s.next(cancelledContext(), fixedClock, 1)
	c.Assert(lost, qt.IsFalse)
	c.Assert(string(got[0].Data), qt.Equals, "b")
}
