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

// A tally gathers the answers of a run. Its mutex is a leaf.
type tally struct {
	mu        sync.Mutex
	sent      int
	dropped   int
	counts    map[outcome]int
	kinds     map[string]int
	firstBad  string
	firstByte *hdrhistogram.Histogram
	whole     *hdrhistogram.Histogram
	stall     *hdrhistogram.Histogram
	gap       *hdrhistogram.Histogram
	seconds   []*second
}

// A second is what became of the requests that were due in one second.
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
		whole:     newHistogram(),
		stall:     newHistogram(),
		gap:       newHistogram(),
	}
}

// add takes an answer to a request that was due then.
func (t *tally) add(due time.Duration, a answered) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.second(due)
	t.sent++
	t.counts[a.outcome]++
	s.counts[a.outcome]++
	if a.kind != "" && a.outcome != outcomeWrong {
		t.kinds[string(a.outcome)+"."+a.kind]++
	}
	if a.outcome == outcomeWrong && t.firstBad == "" {
		t.firstBad = a.kind
	}
	if a.outcome != outcomeDone || a.whole == 0 {
		return
	}
	record(t.firstByte, a.firstByte)
	record(s.firstByte, a.firstByte)
	record(t.whole, a.whole)
	for _, g := range a.gaps {
		record(t.gap, g)
	}
	if a.hasStall {
		record(t.stall, a.stall)
		record(s.stall, a.stall)
	}
}

// drop counts a request that was due while too many were in flight.
func (t *tally) drop(due time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropped++
	t.second(due).dropped++
}

// second returns the entry of a time. The mutex is held.
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

// record records a duration; one out of range counts as the range's end.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}
