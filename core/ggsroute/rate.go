package ggsroute

import (
	"math"
	"time"
)

// rateSlots is the number of adapters whose rates are followed at once.
const rateSlots = 1 << 13

// rateWindow is the time constant of the rates.
const rateWindow = 10 * time.Second

// A rateTable follows the rates of the adapters that this router sends most
// of. Its size is fixed, however many adapters there are: two that share a
// slot push each other out, and the busier one stays.
type rateTable struct {
	slots [rateSlots]rateSlot
}

// A rateSlot is the rate of one adapter.
type rateSlot struct {
	hash     uint64
	at       time.Time
	perSec   float64
	replicas int
}

func newRateTable() *rateTable { return &rateTable{} }

// record counts a request for an adapter and returns its slot, or nil where a
// busier adapter has it.
func (t *rateTable) record(now time.Time, hash uint64) *rateSlot {
	s := &t.slots[hash%rateSlots]
	s.decay(now)
	step := 1 / rateWindow.Seconds()
	if s.hash != hash {
		if s.perSec > step {
			return nil
		}
		*s = rateSlot{hash: hash, at: now, replicas: 1}
	}
	s.perSec += step
	return s
}

// peek returns an adapter's slot, or nil.
func (t *rateTable) peek(hash uint64) *rateSlot {
	s := &t.slots[hash%rateSlots]
	if s.hash != hash {
		return nil
	}
	return s
}

// decay brings the rate to now.
func (s *rateSlot) decay(now time.Time) {
	age := now.Sub(s.at)
	if age <= 0 {
		return
	}
	s.perSec *= math.Exp(-age.Seconds() / rateWindow.Seconds())
	s.at = now
}
