package ggsnode_test

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// stallSleep is the sleep whose overrun shows a stall, and stallMin the least overrun that counts.
	stallSleep = 10 * time.Millisecond
	stallMin   = 50 * time.Millisecond
	// stallsShown is the number of stalls that a failure prints.
	stallsShown = 5
)

// A stall is a time in which the test process didn't run although it was due.
type stall struct {
	at   time.Time
	took time.Duration
}

// A stallWatch records stalls of the test process. They excuse no failure.
type stallWatch struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
	stolen uint64
	stalls []stall
}

func watchStalls() *stallWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &stallWatch{cancel: cancel, stolen: stolenTicks()}
	w.done.Go(func() { w.run(ctx) })
	return w
}

func (w *stallWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		time.Sleep(stallSleep)
		if took := time.Since(begun) - stallSleep; took >= stallMin {
			w.stalls = append(w.stalls, stall{begun, took})
		}
	}
}

// report ends the watch and describes the longest stalls.
func (w *stallWatch) report() string {
	w.cancel()
	w.done.Wait()
	slices.SortFunc(w.stalls, func(a, b stall) int { return cmp.Compare(b.took, a.took) })
	var b strings.Builder
	fmt.Fprintf(&b, "stalls of over %s: %d; processor time taken by others: %d ticks\n", stallMin, len(w.stalls), stolenTicks()-w.stolen)
	for _, s := range w.stalls[:min(stallsShown, len(w.stalls))] {
		fmt.Fprintf(&b, "  %s for %s\n", s.at.Format("15:04:05.000"), s.took.Round(time.Millisecond))
	}
	return b.String()
}

// stolenTicks returns the processor time that other machines on the host took, zero if unknown.
func stolenTicks() uint64 {
	const stealField = 8
	b, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0
	}
	line, _, _ := strings.Cut(string(b), "\n")
	f := strings.Fields(line)
	if len(f) <= stealField {
		return 0
	}
	n, err := strconv.ParseUint(f[stealField], 10, 64)
	if err != nil {
		return 0
	}
	return n
}
