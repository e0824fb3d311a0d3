package ggsdispatch

import (
	"sync/atomic"

	ggscore "greengageslip/core"
)

// Stats are a Dispatcher's counters.
type Stats struct {
	Submitted, Done, NotRun, Unknown atomic.Int64
	Loads, LoadsFailed, Unloads      atomic.Int64
	WrongAdapter, Fenced             atomic.Int64
}

func (s *Stats) count(o ggscore.Outcome) {
	switch o {
	case ggscore.OutcomeDone:
		s.Done.Add(1)
	case ggscore.OutcomeNotRun:
		s.NotRun.Add(1)
	case ggscore.OutcomeUnknown:
		s.Unknown.Add(1)
	}
}
