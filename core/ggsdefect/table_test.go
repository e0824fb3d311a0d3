package ggsdefect_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdefect"
)

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

func defect(k ggscore.Key) ggsdefect.Defect {
	return ggsdefect.Defect{Key: k, Revision: 3, Reason: "no JSON"}
}

// Guards against a line in the log for each reading of an entry that stays unreadable.
func TestDefectIsReportedOnceUntilItIsResolved(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	v := ggsdefect.NewTable()
	x := v.Replace(at(0), "servers/", []ggsdefect.Defect{defect("servers/a"), defect("servers/b")})
	c.Assert(x.Appeared, qt.HasLen, 2)
	x = v.Replace(at(time.Second), "servers/", []ggsdefect.Defect{defect("servers/a"), defect("servers/c")})
	c.Assert(x.Appeared, qt.HasLen, 1)
	c.Assert(x.Appeared[0].Key, qt.Equals, ggscore.Key("servers/c"))
	c.Assert(x.Resolved, qt.HasLen, 1)
	c.Assert(x.Resolved[0].Key, qt.Equals, ggscore.Key("servers/b"))
	c.Assert(v.Defects()[0].Since, qt.Equals, at(0))
	c.Assert(v.Len(), qt.Equals, 2)
}

func TestPartsOfAnEntryAreDefectsOfTheirOwn(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	v := ggsdefect.NewTable()
	route := defect("op/config")
	route.Part = "route chat"
	v.Replace(at(0), "servers/", []ggsdefect.Defect{defect("servers/a")})
	v.Set(at(0), "op/config", []ggsdefect.Defect{route, defect("op/config")})
	x := v.Set(at(1), "op/config", []ggsdefect.Defect{route})
	c.Assert(x.Appeared, qt.HasLen, 0)
	c.Assert(x.Resolved, qt.HasLen, 1)
	c.Assert(v.Set(at(2), "op/config", nil).Resolved, qt.HasLen, 1)
	c.Assert(v.Len(), qt.Equals, 1, qt.Commentf("entries elsewhere stay"))
}

// Guards against a writer that fills the memory of VMs, or their logs, with entries that can't be read.
func TestDefectsAreBounded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	v := ggsdefect.NewTable()
	var ds []ggsdefect.Defect
	for n := range 3 * ggsdefect.MaxDefects {
		d := defect(ggscore.Key("servers/" + strconv.Itoa(n)))
		d.Reason = strings.Repeat("ä", 1<<10)
		ds = append(ds, d)
	}
	x := v.Replace(at(0), "servers/", ds)
	c.Assert(x.Appeared, qt.HasLen, ggsdefect.MaxDefects)
	c.Assert(v.Len(), qt.Equals, len(ds))
	c.Assert(len(v.Defects()[0].Reason) <= ggsdefect.MaxReasonBytes+len("…"), qt.IsTrue)
	c.Assert(v.Replace(at(1), "servers/", ds).Appeared, qt.HasLen, 0)
	v.Replace(at(2), "servers/", nil)
	c.Assert(v.Len(), qt.Equals, 0)
}
