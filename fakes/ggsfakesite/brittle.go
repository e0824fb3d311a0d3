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
	active   int
	refused  []time.Time
	// downUntil is when the endpoint serves again, falls the number of times it fell over.
	downUntil time.Time
	falls     int
}

// SetBrittle makes the endpoint serve only as many requests at once as it has slots, each for the
// given time, and fall over when it has to refuse more than the given number of requests in a
// second. Its answers say so. Zero refusals end that.
func (e *Endpoint) SetBrittle(refusals int, workTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.brittle.refusals, e.brittle.workTime = refusals, workTime
}

// Falls returns how often the endpoint fell over.
func (e *Endpoint) Falls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.brittle.falls
}

// enterBrittle admits a request to an endpoint that may be brittle. If it is admitted, end must be
// called at the end of its run, and waits for the time of the request's work.
func (e *Endpoint) enterBrittle(w http.ResponseWriter) (admitted bool, end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := &e.brittle
	if b.refusals == 0 {
		return true, func() {}
	}
	now := e.options.Now()
	if now.Before(b.downUntil) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Brittle", strconv.Itoa(b.refusals))
	if b.active < DefaultSlots {
		b.active++
		workTime := b.workTime
		return true, func() {
			t := time.NewTimer(workTime)
			defer t.Stop()
			<-t.C
			e.mu.Lock()
			defer e.mu.Unlock()
			b.active--
		}
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
	return false, nil
}
