package ggswire

import (
	"time"

	ggscore "greengageslip/core"
)

// SummaryArgs requests a dispatcher's summary. The answer comes once the summary's
// sequence differs from After, or when Wait has passed.
type SummaryArgs struct {
	After uint64
	Wait  time.Duration

	callContext
}

// SummaryReply holds a summary.
type SummaryReply struct{ Summary Summary }

// A Summary is the wire form of ggscore.DispatcherSummary.
type Summary struct {
	VM, Region, Domain, Incarnation string
	Leaving                         bool
	Sequence                        uint64
	Runners                         []Runner
}

// A Runner is the wire form of ggscore.RunnerSummary.
type Runner struct {
	Endpoint, Service                          string
	Mode, Slots, Running, Queued, AdapterSlots int
	Leaving                                    bool
	Resident, Loading                          []string
}

// FromSummary converts a summary to its wire form.
func FromSummary(s *ggscore.DispatcherSummary) Summary {
	w := Summary{
		VM: string(s.VM), Region: string(s.Region), Domain: string(s.Domain),
		Incarnation: s.Incarnation, Leaving: s.Leaving, Sequence: s.Sequence,
		Runners: make([]Runner, 0, len(s.Runners)),
	}
	for i := range s.Runners {
		r := &s.Runners[i]
		w.Runners = append(w.Runners, Runner{
			Endpoint: string(r.Endpoint), Service: string(r.Service),
			Mode: int(r.Mode), Slots: r.Slots, Running: r.Running, Queued: r.Queued,
			AdapterSlots: r.AdapterSlots, Leaving: r.Leaving,
			Resident: fromRefs(r.Resident), Loading: fromRefs(r.Loading),
		})
	}
	return w
}

// Summary converts the wire form to a summary. A malformed adapter reference is left
// out, which only makes its runner less preferred.
func (w *Summary) Summary() ggscore.DispatcherSummary {
	s := ggscore.DispatcherSummary{
		VM: ggscore.VMID(w.VM), Region: ggscore.Region(w.Region), Domain: ggscore.Domain(w.Domain),
		Incarnation: w.Incarnation, Leaving: w.Leaving, Sequence: w.Sequence,
		Runners: make([]ggscore.RunnerSummary, 0, len(w.Runners)),
	}
	for i := range w.Runners {
		r := &w.Runners[i]
		s.Runners = append(s.Runners, ggscore.RunnerSummary{
			Endpoint: ggscore.EndpointID(r.Endpoint), Service: ggscore.Service(r.Service),
			Mode: ggscore.OwnerMode(r.Mode), Slots: r.Slots, Running: r.Running, Queued: r.Queued,
			AdapterSlots: r.AdapterSlots, Leaving: r.Leaving,
			Resident: toRefs(r.Resident), Loading: toRefs(r.Loading),
		})
	}
	return s
}

func fromRefs(refs []ggscore.AdapterRef) []string {
	w := make([]string, 0, len(refs))
	for _, a := range refs {
		w = append(w, a.String())
	}
	return w
}

func toRefs(w []string) []ggscore.AdapterRef {
	refs := make([]ggscore.AdapterRef, 0, len(w))
	for _, t := range w {
		a, err := ggscore.ParseAdapterRef(t)
		if err == nil {
			refs = append(refs, a)
		}
	}
	return refs
}
