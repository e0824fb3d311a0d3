package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// A result is the result of a run, as stored in its file.
type result struct {
	Name       string                     `json:"name"`
	Seed       uint64                     `json:"seed"`
	Rate       float64                    `json:"ratePerSecond"`
	Adapters   int                        `json:"adapters"`
	Zipf       float64                    `json:"zipf"`
	Took       float64                    `json:"tookSeconds"`
	Sent       int                        `json:"sent"`
	Dropped    int                        `json:"dropped"`
	Done       int                        `json:"done"`
	NotRun     int                        `json:"notRun"`
	Unknown    int                        `json:"unknown"`
	Wrong      int                        `json:"wrong"`
	FirstWrong string                     `json:"firstWrong,omitempty"`
	Kinds      map[string]int             `json:"kinds"`
	FirstByte  distribution               `json:"firstByte"`
	Total      distribution               `json:"whole"`
	Stall      distribution               `json:"stall"`
	Gap        distribution               `json:"gapBetweenTokens"`
	Seconds    []secondResult             `json:"seconds"`
	Before     map[string]json.RawMessage `json:"countersBefore,omitempty"`
	After      map[string]json.RawMessage `json:"countersAfter,omitempty"`
}

// A distribution summarizes durations in microseconds.
type distribution struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50Micros"`
	P95   int64 `json:"p95Micros"`
	P99   int64 `json:"p99Micros"`
	Max   int64 `json:"maxMicros"`
}

// A secondResult holds the requests that were due in one second of a run.
type secondResult struct {
	Done         int   `json:"done"`
	NotRun       int   `json:"notRun"`
	Unknown      int   `json:"unknown"`
	Dropped      int   `json:"dropped"`
	StallP95     int64 `json:"stallP95Micros"`
	FirstByteP95 int64 `json:"firstByteP95Micros"`
}

func distributionOf(h *hdrhistogram.Histogram) distribution {
	return distribution{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P95:   h.ValueAtQuantile(95),
		P99:   h.ValueAtQuantile(99),
		Max:   h.Max(),
	}
}

// result returns the result of the run.
func (t *tally) result(r *runCommand, took time.Duration) result {
	t.mu.Lock()
	defer t.mu.Unlock()
	res := result{
		Name: r.Name, Seed: r.Seed, Rate: r.Rate, Adapters: r.Adapters, Zipf: r.Zipf,
		Took: took.Seconds(), Sent: t.sent, Dropped: t.dropped,
		Done: t.counts[outcomeDone], NotRun: t.counts[outcomeNotRun],
		Unknown: t.counts[outcomeUnknown], Wrong: t.counts[outcomeWrong],
		FirstWrong: t.firstWrong, Kinds: t.kinds,
		FirstByte: distributionOf(t.firstByte), Total: distributionOf(t.total),
		Stall: distributionOf(t.stall), Gap: distributionOf(t.gap),
	}
	for _, s := range t.seconds {
		res.Seconds = append(res.Seconds, secondResult{
			Done: s.counts[outcomeDone], NotRun: s.counts[outcomeNotRun],
			Unknown: s.counts[outcomeUnknown], Dropped: s.dropped,
			StallP95:     s.stall.ValueAtQuantile(95),
			FirstByteP95: s.firstByte.ValueAtQuantile(95),
		})
	}
	return res
}

// encode returns the result as JSON.
func (r *result) encode() ([]byte, error) {
	b, err := json.MarshalIndent(r, "", "  ")
	return append(b, '\n'), errors.Wrap(err, "encoding the result")
}

// line returns the result as a log line.
func (r *result) line() string {
	return fmt.Sprintf("event=loadEnded name=%q sent=%d done=%d notRun=%d unknown=%d wrong=%d dropped=%d "+
		"firstByteP95=%s stallP50=%s stallP95=%s stallP99=%s gapP95=%s",
		r.Name, r.Sent, r.Done, r.NotRun, r.Unknown, r.Wrong, r.Dropped,
		micros(r.FirstByte.P95), micros(r.Stall.P50), micros(r.Stall.P95), micros(r.Stall.P99), micros(r.Gap.P95))
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func readResult(file string) (*result, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "reading a result")
	}
	r := &result{}
	if err := json.Unmarshal(b, r); err != nil {
		return nil, &usageError{detail: fmt.Sprintf("%s is not a result of ggsload run: %v", file, err)}
	}
	if r.Name == "" {
		r.Name = file
	}
	return r, nil
}
