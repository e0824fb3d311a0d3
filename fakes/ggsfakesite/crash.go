package ggsfakesite

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// crashDelay is the time from the beginning of a run until its prompt crashes the endpoint.
const crashDelay = 20 * time.Millisecond

// SetCrashingPart sets the part of a prompt that crashes the site's runners when they begin to answer a
// request with it, empty for none. A runner is back after the given time, as another process.
func (s *Site) SetCrashingPart(part string, down time.Duration) {
	for _, e := range s.Endpoints {
		e.mu.Lock()
		e.crashingPart, e.downTime = part, down
		e.mu.Unlock()
	}
}

// SetCrashingPath sets the path prefix of requests that crash the endpoints that run them, empty for none:
// plain ones at once, and streams after the given number of events. An endpoint is back after the given
// time, as another process.
func (s *Site) SetCrashingPath(prefix string, events int, down time.Duration) {
	for _, e := range s.Endpoints {
		e.mu.Lock()
		e.crashingPath, e.crashingEvents, e.downTime = prefix, events, down
		e.mu.Unlock()
	}
}

// KeepIDs lets endpoints that crash come back under the IDs that they had.
func (s *Site) KeepIDs() {
	for _, e := range s.Endpoints {
		e.mu.Lock()
		e.keepsID = true
		e.mu.Unlock()
	}
}

// SetDark lets endpoints that crash fall silent instead of closing their connections, until they are back.
func (s *Site) SetDark() {
	for _, e := range s.Endpoints {
		e.mu.Lock()
		e.dark = true
		e.mu.Unlock()
	}
}

// CrashesUnder returns the times at which endpoints crashed under requests for a path, in order.
func (s *Site) CrashesUnder(path string) []time.Time {
	return s.times(func(e *Endpoint) []time.Time { return e.pathCrashes[path] })
}

// PathArrivals returns the times at which requests for a crashing path reached endpoints, in order.
func (s *Site) PathArrivals(path string) []time.Time {
	return s.times(func(e *Endpoint) []time.Time { return e.pathArrivals[path] })
}

// Crashes returns the times at which endpoints crashed, in order.
func (s *Site) Crashes() []time.Time {
	return s.times(func(e *Endpoint) []time.Time { return e.crashes })
}

// PartCrashes returns the times at which endpoints crashed under the crashing part, in order.
func (s *Site) PartCrashes() []time.Time {
	return s.times(func(e *Endpoint) []time.Time { return e.partCrashes })
}

// CrashingArrivals returns the times at which requests with a crashing part reached endpoints, in order.
func (s *Site) CrashingArrivals() []time.Time {
	return s.times(func(e *Endpoint) []time.Time { return e.crashingArrivals })
}

// times returns the times that all endpoints have recorded, in order. The function is called with the
// endpoint's lock held.
func (s *Site) times(of func(*Endpoint) []time.Time) []time.Time {
	var ts []time.Time
	for _, e := range s.Endpoints {
		e.mu.Lock()
		ts = append(ts, of(e)...)
		e.mu.Unlock()
	}
	slices.SortFunc(ts, time.Time.Compare)
	return ts
}

// hasCrashingPart reports whether a request's prompt has the crashing part, and records its arrival. The
// lock is held.
func (e *Endpoint) hasCrashingPart(r *http.Request) bool {
	if e.crashingPart == "" {
		return false
	}
	for pair := range strings.SplitSeq(r.Header.Get("Prompt-Prefix"), ",") {
		if id, _, _ := strings.Cut(pair, ":"); id == e.crashingPart {
			e.crashingArrivals = append(e.crashingArrivals, e.options.Now())
			return true
		}
	}
	return false
}

// hasCrashingPath reports whether a request crashes the endpoint by its path, and records its arrival. The
// lock is held.
func (e *Endpoint) hasCrashingPath(r *http.Request) bool {
	if e.crashingPath == "" || !strings.HasPrefix(r.URL.Path, e.crashingPath) {
		return false
	}
	e.pathArrivals[r.URL.Path] = append(e.pathArrivals[r.URL.Path], e.options.Now())
	return true
}

// crashAfter returns the number of events after which a crashing stream crashes the endpoint.
func (e *Endpoint) crashAfter() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashingEvents
}

// crashUnderPart ends the endpoint's process because of a part of a prompt, and the request's handler.
func (e *Endpoint) crashUnderPart() {
	e.mu.Lock()
	e.partCrashes = append(e.partCrashes, e.options.Now())
	e.mu.Unlock()
	e.crash()
}

// crashUnder ends the endpoint's process because of a request, and the request's handler.
func (e *Endpoint) crashUnder(path string) {
	e.mu.Lock()
	e.pathCrashes[path] = append(e.pathCrashes[path], e.options.Now())
	e.mu.Unlock()
	e.crash()
}

// crash ends the endpoint's process and the request's handler.
func (e *Endpoint) crash() {
	t := time.NewTimer(crashDelay)
	defer t.Stop()
	<-t.C
	e.mu.Lock()
	e.crashes = append(e.crashes, e.options.Now())
	e.restart()
	if e.keepsID {
		e.keepID()
	}
	dark := e.dark
	if dark {
		e.silentUntil = e.options.Now().Add(e.downTime)
	}
	e.mu.Unlock()
	select {
	case e.crashed <- struct{}{}:
	default:
	}
	if dark {
		e.waitSilence()
	}
	panic(http.ErrAbortHandler)
}

// serveEndpoint serves an endpoint until the context is done. After a crash it listens again once the
// endpoint is back.
func (s *Site) serveEndpoint(ctx context.Context, id string, l net.Listener) {
	e := s.Endpoints[id]
	for {
		v := &http.Server{Handler: e, ReadHeaderTimeout: entryInterval * 25}
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			// The server ends with a crash, or with the context.
			_ = v.Serve(l)
		}()
		select {
		case <-e.crashed:
		case <-ctx.Done():
		}
		s.setDown(id, true)
		e.mu.Lock()
		down := e.downTime
		if e.dark {
			down = 0
		}
		e.mu.Unlock()
		if ctx.Err() == nil {
			e.waitSilence()
		}
		_ = v.Close()
		<-stopped
		t := time.NewTimer(down)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		var err error
		if l, err = (&net.ListenConfig{}).Listen(ctx, "tcp", s.addrs[id].String()); err != nil {
			// Another process took the address; the endpoint stays down.
			return
		}
		s.setDown(id, false)
		s.writeEntry(id)
	}
}

// setDown sets whether an endpoint is down, and writes no entries.
func (s *Site) setDown(id string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[id] = down
}
