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

func piece(s string) ggscore.Chunk { return ggscore.Chunk{Data: []byte(s)} }

func closedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// A caller's answer had a gap: the connection between gateway and dispatcher
// broke after some pieces were sent and before they were received, and the
// gateway asked for what comes next instead of what it lacked. Whatever of the
// replies is lost, the pieces passed on must be all, once, in order.
func TestStreamIsWholeWhateverRepliesAreLost(t *testing.T) {
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
				c := piece(rapid.StringN(1, 8, -1).Draw(r, "data"))
				c.Final = rapid.IntRange(0, 9).Draw(r, "final") == 0
				ended = c.Final
				want.Write(c.Data)
				if err := s.append(context.Background(), c); err != nil {
					r.Fatal(err)
				}
			},
			"read": func(r *rapid.T) {
				chunks, lost := s.next(closedContext(), fixedClock, next)
				if lost {
					r.Fatal("piece lost")
				}
				if rapid.Bool().Draw(r, "replyLost") {
					return
				}
				for _, c := range chunks {
					if c.Seq != next {
						r.Fatalf("piece %d where %d was due", c.Seq, next)
					}
					got.Write(c.Data)
					next++
				}
			},
			"": func(r *rapid.T) {
				if !bytes.HasPrefix(want.Bytes(), got.Bytes()) {
					r.Fatal("the answer differs")
				}
			},
		})
		chunks, _ := s.next(closedContext(), fixedClock, next)
		for _, c := range chunks {
			got.Write(c.Data)
		}
		if !bytes.Equal(want.Bytes(), got.Bytes()) {
			r.Fatal("the answer isn't whole")
		}
	})
}

// A gateway that restarted asked for a piece that another had acknowledged; it
// was given a later one, and its caller an answer without the middle.
func TestStreamTellsOfPiecesItNoLongerHas(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newStream(fixedClock())
	c.Assert(s.append(context.Background(), piece("a")), qt.IsNil)
	c.Assert(s.append(context.Background(), piece("b")), qt.IsNil)
	_, lost := s.next(closedContext(), fixedClock, 1)
	c.Assert(lost, qt.IsFalse)
	_, lost = s.next(closedContext(), fixedClock, 0)
	c.Assert(lost, qt.IsTrue)
	_, lost = s.next(closedContext(), fixedClock, 3)
	c.Assert(lost, qt.IsTrue)
}

// A slow caller of a long answer made the dispatcher hold all of it: its VM
// has little memory and every request of its runners died with it.
func TestStreamHoldsBackTheEndpointOfASlowReader(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newStream(fixedClock())
	big := piece(string(make([]byte, maxUnreadBytes)))
	c.Assert(s.append(context.Background(), big), qt.IsNil)
	c.Assert(s.append(closedContext(), piece("b")), qt.ErrorIs, context.Canceled)

	var w sync.WaitGroup
	w.Go(func() { _ = s.append(context.Background(), piece("b")) })
	_, _ = s.next(closedContext(), fixedClock, 1)
	w.Wait()
	got, lost := s.next(closedContext(), fixedClock, 1)
	c.Assert(lost, qt.IsFalse)
	c.Assert(string(got[0].Data), qt.Equals, "b")
}
