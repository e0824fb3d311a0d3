package ggsedge

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspermit"
)

func TestStateRoundTrip(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	want := State{
		Domain: "a", Config: 3, Routes: 2, ListAge: time.Second, ListReadAge: 3 * time.Second, ListDigest: 0xabcdef0123456789, Epoch: 1,
		Endpoints: []EndpointState{
			{
				ID: "owned", Service: "models", Software: "v1.1", Owner: "vm", Blocked: true, Limit: &ggscore.RateLimit{RequestsPerSecond: 2},
				Held:  []ggscore.AdapterVersion{{Target: ggscore.ModelAdapter{Model: "m", Adapter: "a1"}, Version: 4}},
				Loads: &LoadState{Waiting: 3, LongestWait: 250 * time.Millisecond, FreeCapacity: 1, LateOrders: 2},
			},
			{ID: "other", Service: "models", Leaving: true},
		},
		Peers:       []PeerState{{VM: "peer", Domain: "b", HeartbeatAge: 150 * time.Millisecond}},
		Quarantined: []QuarantineState{{Suspect: "5c", Left: time.Minute}, {Suspect: ggscore.SuspectRequest("a7"), Left: time.Second}},
		ShedLimits:  []ggscore.ShedLimit{{Service: "ledger", RefusalsPerSecond: new(6), Age: time.Second}},
		Permits:     []ggspermit.EndpointPermits{{Endpoint: "p0", Limit: 12, Granted: 11, Waiting: 3}},
		Unreadable:  []DefectState{{Key: "op/config", Part: "route chat", Revision: 9, Reason: "unknown type", Age: time.Minute}},
	}
	b, err := json.Marshal(want)
	c.Assert(err, qt.IsNil)
	var got State
	c.Assert(json.Unmarshal(b, &got), qt.IsNil)
	c.Assert(got, qt.DeepEquals, want)
}
