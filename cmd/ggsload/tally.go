package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of the histograms, in microseconds.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// A tally counts the responses of a run. No other lock is taken while its mutex is held.
type tally struct {
	mu         sync.Mutex
	sent       int
	dropped    int
	counts     map[outcome]int
	kinds      map[string]int
	firstWrong string
	firstByte  *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	stall      *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
	seconds    []*second
}

// A second counts the responses to the requests that were due in one second.
type second struct {
	counts    map[outcome]int
	dropped   int
	stall     *hdrhistogram.Histogram
	firstByte *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		counts:    map[outcome]int{},
		kinds:     map[string]int{},
		firstByte: newHistogram(),
		total:     newHistogram(),
		stall:     newHistogram(),
		gap:       newHistogram(),
	}
}

// add records the response to a request that was due at the offset due from the start of the run.
func (t *tally) add(due time.Duration, a response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.second(due)
	t.sent++
	t.counts[a.outcome]++
	s.counts[a.outcome]++
	if a.kind != "" && a.outcome != outcomeWrong {
		t.kinds[string(a.outcome)+"."+a.kind]++
	}
	if a.outcome == outcomeWrong && t.firstWrong == "" {
		t.firstWrong = a.kind
	}
	if a.outcome != outcomeDone || a.total == 0 {
		return
	}
	record(t.firstByte, a.firstByte)
	record(s.firstByte, a.firstByte)
	record(t.total, a.total)
	for _, g := range a.gaps {
		record(t.gap, g)
	}
	if a.hasStall {
		record(t.stall, a.stall)
		record(s.stall, a.stall)
	}
}

// drop counts a request that was not sent, because too many were in flight when it was due.
func (t *tally) drop(due time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropped++
	t.second(due).dropped++
}

// second returns the counts of the second that contains due. The caller holds the mutex.
func (t *tally) second(due time.Duration) *second {
	n := int(due / time.Second)
	for len(t.seconds) <= n {
		t.seconds = append(t.seconds, &second{
			counts:    map[outcome]int{},
			stall:     newHistogram(),
			firstByte: newHistogram(),
		})
	}
	return t.seconds[n]
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// record records a duration, clamped to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}
