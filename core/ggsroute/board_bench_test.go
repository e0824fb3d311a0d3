package ggsroute_test

import (
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsroute"
)

// The load of a group of 8 runners at the design limit: 1,400 requests/s over 340
// groups, 386 tokens per request at 31 ms per token, and 38,000 adapters that
// become busy or idle per hour.
const (
	requestsPerSecond = 4.1
	holdSeconds       = 12
	swapsPerSecond    = 0.031
	periods           = 100
)

// A counter counts the bytes written to it.
type counter int

func (c *counter) Write(b []byte) (int, error) {
	*c += counter(len(b))
	return len(b), nil
}

// A churn holds the groups' summaries and changes them from one period to the next.
type churn struct {
	rng       *rand.Rand
	refs      []ggscore.AdapterRef
	period    time.Duration
	summaries []*ggscore.DispatcherSummary
}

func newChurn(groups int, period time.Duration) *churn {
	f := fleet{groups: groups, runners: 8, adapters: 200_000}
	c := &churn{rng: rand.New(rand.NewPCG(1, 1)), refs: f.refs(), period: period}
	for g := range groups {
		c.summaries = append(c.summaries, f.summary(g, 1, c.refs))
		for i := range c.summaries[g].Runners {
			r := &c.summaries[g].Runners[i]
			r.Resident = append([]ggscore.AdapterRef(nil), r.Resident...)
			r.Running = 6
		}
	}
	return c
}

// step advances all summaries by one period.
func (c *churn) step() {
	perRunner := requestsPerSecond * c.period.Seconds() / 8
	for _, s := range c.summaries {
		s.Sequence++
		for i := range s.Runners {
			r := &s.Runners[i]
			ends := float64(r.Running) * c.period.Seconds() / holdSeconds
			r.Running += c.count(perRunner) - c.count(ends)
			r.Running = min(max(r.Running, 0), r.Slots)
			r.Loading = nil
			if c.rng.Float64() < swapsPerSecond*c.period.Seconds()/8 {
				n := c.refs[c.rng.IntN(len(c.refs))]
				r.Resident[c.rng.IntN(len(r.Resident))] = n
			}
		}
	}
}

// count draws a number of events with the given small mean.
func (c *churn) count(mean float64) int {
	n := 0
	for range 64 {
		if c.rng.Float64() < mean/64 {
			n++
		}
	}
	return n
}

// BenchmarkBoardBytes reports the bytes per second that a reader receives if it
// reads a board once per period: with ViewWhole, with ViewLoads, and with the
// summaries themselves. It also reports the bytes of the first read.
func BenchmarkBoardBytes(b *testing.B) {
	for _, period := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second} {
		for _, groups := range []int{3, 42, 85, 170} {
			b.Run(fmt.Sprintf("period=%s/groups=%d", period, groups), func(b *testing.B) {
				for b.Loop() {
					measureBoard(b, groups, period)
				}
			})
		}
	}
}

func measureBoard(b *testing.B, groups int, period time.Duration) {
	churn := newChurn(groups, period)
	board := ggsroute.NewBoard("relay", time.Hour)
	whole, loads, full := newMeter(b), newMeter(b), newMeter(b)
	first, version := 0, uint64(0)
	for p := range periods + 1 {
		for _, s := range churn.summaries {
			board.Put(at(0), s)
			full.write(s)
		}
		c := board.Since(at(0), version, ggsroute.ViewWhole)
		whole.write(&c)
		version = c.To
		c = board.Since(at(0), c.From, ggsroute.ViewLoads)
		loads.write(&c)
		if p == 0 {
			first = int(*whole.bytes)
			*whole.bytes, *loads.bytes, *full.bytes = 0, 0, 0
		}
		churn.step()
	}
	seconds := periods * period.Seconds()
	b.ReportMetric(float64(*whole.bytes)/seconds, "wholeB/s")
	b.ReportMetric(float64(*loads.bytes)/seconds, "loadsB/s")
	b.ReportMetric(float64(*full.bytes)/seconds, "summariesB/s")
	b.ReportMetric(float64(first), "firstB")
}

// A meter encodes values with gob, as net/rpc does, and counts the bytes.
type meter struct {
	b       *testing.B
	bytes   *counter
	encoder *gob.Encoder
}

func newMeter(b *testing.B) meter {
	n := new(counter)
	return meter{b: b, bytes: n, encoder: gob.NewEncoder(n)}
}

func (m meter) write(v any) {
	if err := m.encoder.Encode(v); err != nil {
		m.b.Fatal(err)
	}
}

// BenchmarkBoard measures a relay's work for one period with all its groups.
func BenchmarkBoard(b *testing.B) {
	for _, groups := range []int{3, 42, 85, 170} {
		churn := newChurn(groups, 2*time.Second)
		board := ggsroute.NewBoard("relay", time.Minute)
		router := ggsroute.New(ggsroute.Options{Region: "region-0", Seed: 1})
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				churn.step()
				b.StartTimer()
				for _, s := range churn.summaries {
					board.Put(at(0), s)
				}
				c := board.Since(at(0), router.Version("relay"), ggsroute.ViewWhole)
				if !router.Apply(at(0), &c) {
					b.Fatal("router refused the board's changes")
				}
			}
		})
	}
}
