package ggsnode_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
)

const (
	// soakResumers is the number of clients that take broken streams up again.
	soakResumers = 8
	// soakTries is the number of attempts at a stream.
	soakTries = 4
)

// A soakStream is a stream as its client received it, over all attempts.
type soakStream struct {
	// origin is the attempt that brought the first event.
	origin string
	last   int
	// software has the versions that wrote the stream's events, by attempt.
	software map[string]string
	broken   string
	model    string
}

// changeSoftware makes runners run several versions of their software and break streams off, until the
// context ends.
func (s *soak) changeSoftware(ctx context.Context, r *rand.Rand) {
	var faults sync.WaitGroup
	defer faults.Wait()
	s.site.Endpoints["runner-01"].SetSoftware("v1.1")
	s.site.Endpoints["runner-11"].SetSoftware("v1.1")
	for ctx.Err() == nil {
		e := s.site.Endpoints[s.endpoint(r, "runner")]
		if r.IntN(8) == 0 {
			e.SetSoftware([]string{"v1", "v1.1", "v1.2"}[r.IntN(3)])
		} else {
			every, d := 1+r.IntN(2), time.Duration(500+r.IntN(1000))*time.Millisecond
			faults.Go(func() { s.failEvery(e, every, ggsfakesite.FaultTruncate, d) })
		}
		from := time.Now()
		s.sleep(time.Duration(100+r.IntN(400)) * time.Millisecond)
		s.mu.Lock()
		s.unplanned = append(s.unplanned, span{from, time.Now()})
		s.mu.Unlock()
	}
}

// resumer sends streams until the context ends, and takes broken ones up at other VMs.
func (s *soak) resumer(ctx context.Context, r *rand.Rand) {
	h := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: soakDeadline + time.Second}
	for ctx.Err() == nil {
		st := &soakStream{software: map[string]string{}, model: []string{"m", "m/a0", "m/a1"}[r.IntN(3)]}
		for try := 0; try < soakTries && st.last < soakEvents && ctx.Err() == nil; try++ {
			o := s.sendWith(ctx, h, s.edge(r), "/tell/x", s.resumeHeader(st))
			s.addEvents(st, o)
			if o.status != http.StatusOK && st.last == 0 {
				break
			}
			s.sleep(min(o.wait, 300*time.Millisecond))
		}
		s.mu.Lock()
		s.streams = append(s.streams, st)
		s.mu.Unlock()
		s.sleep(time.Duration(20+r.IntN(60)) * time.Millisecond)
	}
}

// resumeHeader returns the headers with which a stream is begun or taken up.
func (s *soak) resumeHeader(st *soakStream) http.Header {
	h := http.Header{"Model": {st.model}}
	if st.last > 0 {
		h.Set("Resumes", st.origin)
		h.Set("Last-Event-Id", strconv.Itoa(st.last))
	}
	return h
}

// addEvents adds the complete events of an answer to a stream.
func (s *soak) addEvents(st *soakStream, o outcome) {
	if o.status != http.StatusOK {
		return
	}
	body := strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(o.body)
	for event := range strings.SplitAfterSeq(body, "\n\n") {
		if !strings.HasSuffix(event, "\n\n") {
			continue
		}
		st.last++
		if st.origin == "" {
			st.origin = o.id
		}
		_, endpoint, _ := strings.Cut(strings.TrimSpace(event), " by ")
		if want := fmt.Sprintf("id: %d\ndata: %s by %s\n\n", st.last, o.id, endpoint); event != want {
			st.broken = fmt.Sprintf("got %q instead of %q", event, want)
			continue
		}
		st.software[o.id] = s.site.Endpoints[endpoint].RunSoftware(o.id)
	}
}

// checkStreams checks that no stream holds events of two software versions, a gap or an event twice.
func (s *soak) checkStreams() {
	resumed, mixed := 0, 0
	for _, st := range s.streams {
		s.c.Check(st.broken, qt.Equals, "", qt.Commentf("stream %s", st.origin))
		versions := map[string]bool{}
		for _, v := range st.software {
			versions[v] = true
		}
		if len(st.software) > 1 {
			resumed++
		}
		if len(versions) > 1 {
			mixed++
			s.t.Logf("stream %s holds events of several versions, by attempt: %v", st.origin, st.software)
		}
	}
	s.t.Logf("%d streams, %d of them resumed", len(s.streams), resumed)
	s.c.Check(mixed, qt.Equals, 0, qt.Commentf("streams that hold events of several software versions"))
}
