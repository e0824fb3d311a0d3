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
		{"endpoint sends other bytes", true, (*soak).sendOtherBytes},
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

// sendOtherBytes makes an endpoint send bytes before or after its answers that don't belong to them.
func (s *soak) sendOtherBytes(r *rand.Rand, d time.Duration) {
	faults := []ggsfakesite.Fault{
		ggsfakesite.FaultInformational, ggsfakesite.FaultPieces, ggsfakesite.FaultStrayBytes, ggsfakesite.FaultSecondAnswer, ggsfakesite.FaultLateAnswer,
	}
	s.failEvery(s.site.Endpoints[s.endpoint(r, "")], 1+r.IntN(4), faults[r.IntN(len(faults))], d)
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
