package ggsedge

import (
	"context"
	"strings"
	"testing"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsfencing"
)

// Each value is read as each of the records that VMs keep of themselves, and by a VM that starts.
func FuzzOwnRecords(f *testing.F) {
	for _, s := range []string{
		"", "null", "[]", `{"owner":"vm","released":true,"epoch":1}`, `{"settled":1}`, `{"part":"5c"}`, strings.Repeat("[", 20000),
		`{"domain":"a","beats":"10.0.0.1:1","control":"10.0.0.1:2","capacity":18446744073709551615,"count":1}`,
		`{"shapes":[{"service":"s","perTokenNanoseconds":9223372036854775807,"startMicroseconds":9223372036854775807,"quietMicroseconds":-1,"waits":true,"without":1e300}]}`,
		`{"shedLimits":[{"service":"s","refusalsPerSecond":-1,"ageMilliseconds":-9223372036854775808}]}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		now := time.Unix(1_000, 0)
		e := listEdgeAt(func() time.Time { return now })
		es := []ggscore.Entry{
			{Key: e.memberKey("vm"), Value: value, Revision: 3},
			{Key: e.memberKey("peer"), Value: value, Revision: 4},
			{Key: e.ownerKey("runner"), Value: value, Revision: 5},
			{Key: e.epochKey(), Value: value, Revision: 6},
			{Key: ggscore.KeyOf(string(e.options.Keys.Own), suspectPart, "x"), Value: value, Revision: 7},
		}
		e.setMembers(context.Background(), es, position(8))
		if p := e.ownership.NextHeartbeat(now); p.Revision != 3 {
			t.Fatalf("this VM's record is at revision %d", p.Revision)
		}
		e.ownership.HeartbeatAnswered(now, e.ownership.NextHeartbeat(now), position(9), false)
		later := now.Add(ggsfencing.DefaultValidity + ggsfencing.DefaultMargin)
		for _, c := range e.ownership.Claims(later, []ggscore.Instance{{ID: "runner"}}) {
			if c.RecordRevision != 5 {
				t.Fatalf("claim at revision %d", c.RecordRevision)
			}
		}
		// A limit may be in force at first, but not beyond its time.
		if now = later.Add(time.Minute); e.limits.ShedLimited(now, "s") {
			t.Fatal("shed-limited without an answer that says so")
		}
		if _, err := e.State().MarshalJSON(); err != nil {
			t.Fatal(err)
		}
	})
}
