package ggsfakesite

import (
	"net/http"
	"strconv"
	"time"
)

// brittleDownTime is how long an endpoint is down after it fell over.
const brittleDownTime = 2 * time.Second

// A brittleState is the state of an endpoint that falls over when it refuses too many requests.
// Endpoint.mu guards it.
type brittleState struct {
	// refusals is the number of requests that the endpoint can refuse in a second, zero if it isn't
	// brittle. workTime is the time that each request occupies a slot.
	refusals int
	workTime time.Duration
	// refusesFrom is the time from which requests without a slot are refused.
	refusesFrom time.Time
	active      int
	refused     []time.Time
	// downUntil is when the endpoint serves again, falls the number of times it fell over.
	downUntil time.Time
	falls     int
}

// SetBrittle makes the endpoint serve only as many requests at once as it has slots, each for the
// given time, and fall over when it has to refuse more than the given number of requests in a
// second. Its answers say so. Zero refusals end that.
func (e *Endpoint) SetBrittle(refusals int, workTime time.Duration) {
	e.AnnounceBrittle(refusals, workTime, 0)
}

// SetWorkTime sets the time that each plain request takes.
func (e *Endpoint) SetWorkTime(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.workTime = d
}

// AnnounceBrittle is like SetBrittle, but the endpoint runs all requests at once until the notice is over.
func (e *Endpoint) AnnounceBrittle(refusals int, workTime, notice time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.brittle.refusals, e.brittle.workTime, e.brittle.refusesFrom = refusals, workTime, e.options.Now().Add(notice)
}

// Falls returns how often the endpoint fell over.
func (e *Endpoint) Falls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.brittle.falls
}

// A brittleSlot is the slot of a request at an endpoint that may be brittle.
type brittleSlot struct {
	endpoint *Endpoint
	workTime time.Duration
	taken    bool
}

// work waits for the time of the request's work, and frees the slot. The answer of a plain request
// follows.
func (s *brittleSlot) work() {
	if s.workTime > 0 {
		t := time.NewTimer(s.workTime)
		defer t.Stop()
		<-t.C
	}
	s.free()
}

// free frees the slot, if it isn't free.
func (s *brittleSlot) free() {
	if !s.taken {
		return
	}
	s.taken = false
	s.endpoint.mu.Lock()
	defer s.endpoint.mu.Unlock()
	s.endpoint.brittle.active--
}

// enterBrittle admits a request to an endpoint that may be brittle. It returns nil if the request was
// refused.
func (e *Endpoint) enterBrittle(w http.ResponseWriter) *brittleSlot {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := &e.brittle
	if b.refusals == 0 {
		return &brittleSlot{endpoint: e, workTime: e.workTime}
	}
	now := e.options.Now()
	if now.Before(b.downUntil) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Brittle", strconv.Itoa(b.refusals))
	if b.active < e.options.Slots || now.Before(b.refusesFrom) {
		b.active++
		return &brittleSlot{endpoint: e, workTime: b.workTime, taken: true}
	}
	b.refused = append(b.refused, now)
	for now.Sub(b.refused[0]) >= time.Second {
		b.refused = b.refused[1:]
	}
	if len(b.refused) > b.refusals {
		b.falls++
		b.refused, b.downUntil = nil, now.Add(brittleDownTime)
	}
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return nil
}
