package ggsdocument_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
)

// A weightParser uses the length of a section's text as the market's weight.
type weightParser struct{}

func (weightParser) ParseSection(n ggscore.SectionName, text []byte) (*ggsdocument.Section, error) {
	return ggsdocument.NewMarketSection(n, ggsdocument.MarketSource{Weight: len(text)})
}

func accepted(c *qt.C, h ggsdocument.Head, n ggscore.SectionName, text, id string) ggsdocument.Head {
	c.Helper()
	next, err := h.Accept(ggsdocument.Change{
		ID: ggsdocument.ChangeID(id), Section: n, Digest: ggsdocument.DigestOf([]byte(text)), BaseRevision: h.Revision, By: "ana",
	})
	c.Assert(err, qt.IsNil)
	return next
}

// offer offers a head and delivers texts until it is adopted.
func offer(c *qt.C, f *ggsdocument.Follower, h ggsdocument.Head, texts ...string) (bool, error) {
	c.Helper()
	adopted, err := f.Offer(h)
	for _, t := range texts {
		if err != nil || adopted {
			break
		}
		adopted, err = f.Deliver(ggsdocument.DigestOf([]byte(t)), []byte(t))
	}
	return adopted, err
}

func TestFollowerAdoptsCompleteHeads(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h1 := accepted(c, ggsdocument.Head{}, "market/cr", "1", "a")
	h2 := accepted(c, h1, "market/wa", "22", "b")
	f := ggsdocument.NewFollower(weightParser{})
	adopted, err := offer(c, f, h2, "1")
	c.Assert(err, qt.IsNil)
	c.Assert(adopted, qt.IsFalse)
	c.Assert(f.Current(), qt.IsNil)
	c.Assert(f.Missing(), qt.DeepEquals, []ggscore.Digest{ggsdocument.DigestOf([]byte("22"))})

	_, err = f.Deliver(ggsdocument.DigestOf([]byte("22")), []byte("23"))
	var wrong *ggsdocument.DigestError
	c.Assert(errors.As(err, &wrong), qt.IsTrue)

	adopted, err = f.Deliver(ggsdocument.DigestOf([]byte("22")), []byte("22"))
	c.Assert(err, qt.IsNil)
	c.Assert(adopted, qt.IsTrue)
	c.Assert(f.Current().Markets["wa"].Weight, qt.Equals, 2)

	h3 := accepted(c, h2, "market/cr", "333", "c")
	adopted, err = f.Offer(h3)
	c.Assert(err, qt.IsNil)
	c.Assert(adopted, qt.IsFalse)
	c.Assert(f.Missing(), qt.DeepEquals, []ggscore.Digest{ggsdocument.DigestOf([]byte("333"))})
	adopted, err = offer(c, f, h3, "333")
	c.Assert(err, qt.IsNil)
	c.Assert(adopted, qt.IsTrue)
	c.Assert(f.Current().Markets["cr"].Weight, qt.Equals, 3)
	c.Assert(f.Current().Markets["wa"].Weight, qt.Equals, 2)
}

// Guards against undoing an accepted change by adopting an earlier head, which a platform
// restored from an old copy or a peer that was disconnected offers.
func TestFollowerRefusesLowerHead(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h1 := accepted(c, ggsdocument.Head{}, "market/cr", "1", "a")
	h2 := accepted(c, h1, "market/cr", "22", "b")
	f := ggsdocument.NewFollower(weightParser{})
	_, err := offer(c, f, h2, "22")
	c.Assert(err, qt.IsNil)

	_, err = f.Offer(h1)
	var lower *ggsdocument.LowerHeadError
	c.Assert(errors.As(err, &lower), qt.IsTrue)
	c.Assert(*lower, qt.Equals, ggsdocument.LowerHeadError{Offered: 1, Have: 2})

	_, err = f.Offer(accepted(c, h1, "market/cr", "333", "c"))
	var forked *ggsdocument.ForkedHeadError
	c.Assert(errors.As(err, &forked), qt.IsTrue)
	c.Assert(f.Current().Markets["cr"].Weight, qt.Equals, 2)
}

// Guards against a follower that waits for the sections of a head whose source has crashed. It
// must adopt another head that is lower, but higher than the current one.
func TestFollowerDropsPendingHead(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h1 := accepted(c, ggsdocument.Head{}, "market/cr", "1", "a")
	h2 := accepted(c, h1, "market/cr", "22", "b")
	f := ggsdocument.NewFollower(weightParser{})
	_, err := f.Offer(h2)
	c.Assert(err, qt.IsNil)
	adopted, err := offer(c, f, h1, "1")
	c.Assert(err, qt.IsNil)
	c.Assert(adopted, qt.IsFalse)
	f.DropPending(2)
	adopted, err = offer(c, f, h1, "1")
	c.Assert(err, qt.IsNil)
	c.Assert(adopted, qt.IsTrue)
}

// Guards against a follower that gets stuck at a head that it can't parse, written by a newer
// client. It must skip that head and adopt the next valid one.
func TestFollowerSkipsInvalidHead(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h1 := accepted(c, ggsdocument.Head{}, "market/cr", "1", "a")
	h2 := accepted(c, h1, "market/cr", "", "b")
	f := ggsdocument.NewFollower(weightParser{})
	_, err := offer(c, f, h1, "1")
	c.Assert(err, qt.IsNil)
	_, err = offer(c, f, h2, "")
	var e *ggsdocument.SectionError
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Assert(f.Current().Revision, qt.Equals, ggscore.Revision(1))
	adopted, err := offer(c, f, h2, "")
	c.Assert(err, qt.IsNil)
	c.Assert(adopted, qt.IsFalse)
	adopted, err = offer(c, f, accepted(c, h2, "market/cr", "22", "c"), "22")
	c.Assert(err, qt.IsNil)
	c.Assert(adopted, qt.IsTrue)
}

func TestHeadHistory(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := accepted(c, ggsdocument.Head{}, "market/cr", "1", "first")
	for range ggsdocument.HistoryLength - 1 {
		h = accepted(c, h, "market/cr", "1", "x")
	}
	status, r := h.StatusOf("first", 0)
	c.Assert(status, qt.Equals, ggsdocument.ChangeAccepted)
	c.Assert(r, qt.Equals, ggscore.Revision(1))
	status, _ = h.StatusOf("never", 0)
	c.Assert(status, qt.Equals, ggsdocument.ChangeNotAccepted)
	h = accepted(c, h, "market/cr", "1", "y")
	c.Assert(h.Changes, qt.HasLen, ggsdocument.HistoryLength)
	status, _ = h.StatusOf("first", 0)
	c.Assert(status, qt.Equals, ggsdocument.ChangeUnknown)

	latest := accepted(c, ggsdocument.Head{}, "market/wa", "1", "latest")
	for range ggsdocument.HistoryLength {
		latest = accepted(c, latest, "market/cr", "1", "x")
	}
	status, r = latest.StatusOf("latest", 0)
	c.Assert(status, qt.Equals, ggsdocument.ChangeAccepted)
	c.Assert(r, qt.Equals, ggscore.Revision(1))
}

// Guards against a document that nobody accepted. It would result from a delta between two
// different heads of one revision, which exist if the platform was restored from an older copy.
func TestDeltaAndExtends(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h1 := accepted(c, ggsdocument.Head{}, "market/cr", "1", "a")
	h2 := accepted(c, h1, "market/wa", "1", "b")
	h3 := accepted(c, h2, "market/cr", "22", "c")
	d := h3.Since(2)
	c.Assert(d.Sections, qt.HasLen, 1)
	n, err := h2.Apply(d)
	c.Assert(err, qt.IsNil)
	c.Assert(n.Equal(h3), qt.IsTrue)
	n, err = ggsdocument.Head{}.Apply(h3.Since(0))
	c.Assert(err, qt.IsNil)
	c.Assert(n.Equal(h3), qt.IsTrue)

	fork := accepted(c, h1, "market/wa", "333", "f")
	_, err = fork.Apply(d)
	var wrong *ggsdocument.DeltaError
	c.Assert(errors.As(err, &wrong), qt.IsTrue)

	for name, tc := range map[string]struct {
		later, earlier ggsdocument.Head
		want           bool
	}{
		"later":       {h3, h1, true},
		"same":        {h3, h3, false},
		"earlier":     {h1, h3, false},
		"fork":        {h3, fork, false},
		"empty":       {h3, ggsdocument.Head{}, true},
		"both empty":  {ggsdocument.Head{}, ggsdocument.Head{}, false},
		"out of view": {ggsdocument.Head{Revision: 9, Changes: h3.Changes[2:]}, h1, false},
	} {
		c.Assert(tc.later.Extends(tc.earlier), qt.Equals, tc.want, qt.Commentf("%s", name))
	}
}
