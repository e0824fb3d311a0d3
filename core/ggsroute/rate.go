package ggsroute

import (
	"math"
	"time"
)

// rateSlots is the number of adapters whose rates are tracked at once.
const rateSlots = 1 << 13

// rateWindow is the time constant of the exponential decay of the rates.
const rateWindow = 10 * time.Second

// A rateTable tracks the request rates of the adapters that this router sends
// most requests for. Its size is fixed, however many adapters there are. Of two
// adapters that hash to the same slot, the busier one keeps the slot.
type rateTable struct {
	slots [rateSlots]rateSlot
}

// A rateSlot is the rate of one adapter, as of the time at.
type rateSlot struct {
	hash      uint64
	at        time.Time
	perSecond float64
	replicas  int
}

func newRateTable() *rateTable { return &rateTable{} }

// record counts a request for an adapter and returns the adapter's slot, or nil
// if a busier adapter has the slot.
func (t *rateTable) record(now time.Time, hash uint64) *rateSlot {
	s := &t.slots[hash%rateSlots]
	s.decay(now)
	step := 1 / rateWindow.Seconds()
	if s.hash != hash {
		if s.perSecond > step {
			return nil
		}
		*s = rateSlot{hash: hash, at: now, replicas: 1}
	}
	s.perSecond += step
	return s
}

// lookup returns an adapter's slot, or nil.
func (t *rateTable) lookup(hash uint64) *rateSlot {
	s := &t.slots[hash%rateSlots]
	if s.hash != hash {
		return nil
	}
	return s
}

// decay brings the rate up to date.
func (s *rateSlot) decay(now time.Time) {
	age := now.Sub(s.at)
	if age <= 0 {
		return
	}
	s.perSecond *= math.Exp(-age.Seconds() / rateWindow.Seconds())
	s.at = now
}
