package ggsnode_test

import (
	"math/rand/v2"
	"time"

	"greengageslip/fakes/ggsfakesite"
)

// framingFaults returns the faults of answers that may end with their connections.
func framingFaults() []soakFault {
	return []soakFault{
		{"endpoint frames its answers otherwise", true, (*soak).changeFraming},
		{"endpoint ends streams early", false, (*soak).endStreamsEarly},
	}
}

// changeFraming changes how an endpoint frames its answers, and what ends the lines of its streams.
func (s *soak) changeFraming(r *rand.Rand, d time.Duration) {
	e := s.site.Endpoints[s.endpoint(r, "")]
	framings := []ggsfakesite.Framing{ggsfakesite.FramingClose, ggsfakesite.FramingClose, ggsfakesite.FramingLength}
	ends := []string{"\n", "\r\n", "\r"}
	e.SetFraming(framings[r.IntN(len(framings))], ends[r.IntN(len(ends))])
	s.sleep(4 * d)
	e.SetFraming(ggsfakesite.FramingDefault, "\n")
}

// endStreamsEarly makes a runner end some streams inside an event, or before the first.
func (s *soak) endStreamsEarly(r *rand.Rand, d time.Duration) {
	e := s.site.Endpoints[s.endpoint(r, "runner")]
	e.SetFraming(ggsfakesite.FramingClose, "\n")
	faults := []ggsfakesite.Fault{ggsfakesite.FaultEndInsideEvent, ggsfakesite.FaultEndEmpty}
	f := faults[r.IntN(len(faults))]
	s.failEvery(e, 2+r.IntN(4), f, d)
	e.SetFraming(ggsfakesite.FramingDefault, "\n")
}
