package ggsquarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsquarantine"
)

// Guards against a sound request that is kept out because connections to endpoints that live on broke under it.
func TestBrokenConnectionsAreNoCrashesOnceTheProcessIsKnownToLive(t *testing.T) {
	t.Parallel()
	const request = 50 * time.Millisecond
	started := at(-time.Hour)
	for name, tc := range map[string]struct {
		prove func(v *ggsquarantine.Table, now time.Time) ggscore.CrashReport
		kept  bool
	}{
		"an older connection answers later": {prove: func(v *ggsquarantine.Table, now time.Time) ggscore.CrashReport {
			return v.RecordAnsweredOver(now, "e", at(-time.Second), now.Add(-1))
		}},
		"the process says when it started": {prove: func(v *ggsquarantine.Table, now time.Time) ggscore.CrashReport {
			return v.RecordProcess(now, "e", started, now)
		}},
		"a newer connection answers": {kept: true, prove: func(v *ggsquarantine.Table, now time.Time) ggscore.CrashReport {
			return v.RecordAnsweredOver(now, "e", now.Add(-1), now.Add(-1))
		}},
		"it opened just before": {kept: true, prove: func(v *ggsquarantine.Table, now time.Time) ggscore.CrashReport {
			return v.RecordAnsweredOver(now, "e", at(60*time.Millisecond), now.Add(-1))
		}},
		"what was sent before is answered": {kept: true, prove: func(v *ggsquarantine.Table, now time.Time) ggscore.CrashReport {
			return v.RecordAnsweredOver(now, "e", at(-time.Second), at(-1))
		}},
		"another process answers": {kept: true, prove: func(v *ggsquarantine.Table, now time.Time) ggscore.CrashReport {
			return v.RecordProcess(now, "e", at(0), now)
		}},
		"another endpoint answers": {kept: true, prove: func(v *ggsquarantine.Table, now time.Time) ggscore.CrashReport {
			return v.RecordProcess(now, "other", started, now)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			v, peer := ggsquarantine.NewTable("vm"), ggsquarantine.NewTable("peer")
			ids := []ggscore.SuspectID{"part", ggscore.SuspectRequest("f")}
			now := at(0)
			for n := range 3 {
				v.RecordSent(now, ids)
				now = now.Add(request)
				r := v.RecordCrash(now, ggsquarantine.BrokenRequest{Endpoint: "e", StartedAt: started, Suspects: ids})
				peer.ObserveReport(now, r)
				v.RecordEnded(ids)
				// Without this, the three would be the crash of one process.
				v.RecordAlive("e", now.Add(time.Duration(n+1)))
			}
			c.Assert(v.Check(now, ids, false), qt.IsNotNil)
			c.Assert(peer.Check(now, ids, false), qt.IsNotNil)
			now = now.Add(request)
			peer.ObserveReport(now, tc.prove(v, now))
			for n, w := range []*ggsquarantine.Table{v, peer} {
				c.Check(w.Check(now, ids, false) != nil, qt.Equals, tc.kept, qt.Commentf("table %d", n))
			}
		})
	}
}

// Guards against a quarantine that stays in force after all crashes under it have turned out to be none.
func TestQuarantineEndsWithItsCrashes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	v := ggsquarantine.NewTable("vm")
	ids := []ggscore.SuspectID{ggscore.SuspectRequest("f")}
	for n := range 3 {
		v.RecordCrash(at(time.Duration(n)), ggsquarantine.BrokenRequest{Endpoint: ggscore.EndpointID(fmt.Sprint("e", n)), StartedAt: at(-time.Hour), Suspects: ids})
	}
	c.Assert(v.Check(at(time.Second), ids, false), qt.IsNotNil)
	v.Advance(at(2 * time.Second))
	c.Assert(v.Quarantined(at(2*time.Second)), qt.HasLen, 1)
	v.RecordProcess(at(3*time.Second), "e1", at(-time.Hour), at(2*time.Second))
	c.Assert(v.Quarantined(at(3*time.Second)), qt.HasLen, 0)
	c.Assert(v.Check(at(3*time.Second), ids, false), qt.IsNil)
}

// Guards against a crash that was none and that stays known because VMs which don't know so yet report it again.
func TestWithdrawnCrashIsNotReportedAgain(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a, b, third := ggsquarantine.NewTable("a"), ggsquarantine.NewTable("b"), ggsquarantine.NewTable("c")
	ids := []ggscore.SuspectID{ggscore.SuspectRequest("f")}
	started := at(-time.Hour)
	crash := func(v *ggsquarantine.Table, now time.Time, id ggscore.EndpointID) ggscore.CrashReport {
		return v.RecordCrash(now, ggsquarantine.BrokenRequest{Endpoint: id, StartedAt: started, Suspects: ids})
	}
	b.ObserveReport(at(1), crash(a, at(0), "e1"))
	withdrawn := a.RecordProcess(at(3), "e1", started, at(2))
	c.Assert(withdrawn.Withdrawn, qt.HasLen, 1)
	third.ObserveReport(at(4), withdrawn)
	again := crash(b, at(5), "e2")
	c.Assert(again.Crashes, qt.HasLen, 2)
	reply := a.ObserveReport(at(6), again)
	c.Assert(reply.Withdrawn, qt.DeepEquals, withdrawn.Withdrawn)
	c.Assert(third.ObserveReport(at(6), again).Withdrawn, qt.HasLen, 0)
	b.ObserveReport(at(7), reply)
	for n, v := range []*ggsquarantine.Table{a, b, third} {
		c.Check(v.Suspected(at(8), ids), qt.IsFalse, qt.Commentf("table %d", n))
	}
	// The process that had lived on crashes.
	next := crash(a, at(9), "e1")
	b.ObserveReport(at(10), next)
	third.ObserveReport(at(10), next)
	for n, v := range []*ggsquarantine.Table{a, b, third} {
		c.Check(v.Suspected(at(11), ids), qt.IsTrue, qt.Commentf("table %d", n))
	}
}

// Guards against a crash that is taken back because the process lived on after an earlier connection had ended.
func TestCrashAfterABrokenConnectionCounts(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	v, peer := ggsquarantine.NewTable("vm"), ggsquarantine.NewTable("peer")
	ids := []ggscore.SuspectID{ggscore.SuspectRequest("f")}
	started := at(-time.Hour)
	for n := range 2 {
		peer.ObserveReport(at(5), v.RecordCrash(at(time.Duration(2*n)), ggsquarantine.BrokenRequest{Endpoint: "e", StartedAt: started, Suspects: ids}))
	}
	peer.ObserveReport(at(5), v.RecordProcess(at(4), "e", started, at(1)))
	c.Check(v.Crashed(at(5), ids), qt.IsTrue)
	c.Check(peer.Crashed(at(5), ids), qt.IsTrue)
}

// Guards against a VM that drops a crash which it has seen because a peer's report names the process in milliseconds.
func TestOwnCrashOutlastsAPeersWithdrawal(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	v := ggsquarantine.NewTable("vm")
	ids := []ggscore.SuspectID{ggscore.SuspectRequest("f")}
	started := at(-time.Hour + time.Microsecond)
	v.RecordCrash(at(1), ggsquarantine.BrokenRequest{Endpoint: "e", StartedAt: started, Suspects: ids})
	v.ObserveReport(at(3), ggscore.CrashReport{
		VM: "peer", AliveAt: at(0),
		Withdrawn: []ggscore.Crash{{Suspect: ids[0], Endpoint: "e", StartedAt: time.UnixMilli(started.UnixMilli())}},
	})
	c.Check(v.Crashed(at(5), ids), qt.IsTrue)
}
