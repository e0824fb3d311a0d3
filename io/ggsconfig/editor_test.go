package ggsconfig_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggsconfig"
)

func newEditor(s ggsconfig.EditorStore) *ggsconfig.Editor {
	return ggsconfig.NewEditor(s, ggsconfig.EditorOptions{Tries: 6, Pause: time.Microsecond})
}

func edit(n ggscore.SectionName, text []byte, readAt ggscore.Revision, id string) ggsconfig.Edit {
	return ggsconfig.Edit{Section: n, Text: text, ReadAt: readAt, By: "op-" + id, ID: ggsdocument.ChangeID(id)}
}

// apply makes a change that must be accepted.
func apply(c *qt.C, s ggsconfig.EditorStore, d ggsconfig.Edit) ggscore.Revision {
	c.Helper()
	a, err := newEditor(s).Apply(context.Background(), d)
	c.Assert(err, qt.IsNil)
	return a.Revision
}

func filledStore(c *qt.C) *faultyStore {
	s := newFaultyStore()
	c.Assert(apply(c, s, edit("services", []byte(servicesText), 0, "s1")), qt.Equals, ggscore.Revision(1))
	c.Assert(apply(c, s, edit("market/cr", marketText("v1x", "asistente"), 0, "m1")), qt.Equals, ggscore.Revision(2))
	return s
}

func headOf(c *qt.C, s ggsconfig.EditorStore) ggsdocument.Head {
	n, err := newEditor(s).Read(context.Background())
	c.Assert(err, qt.IsNil)
	return n.Head
}

// Two operators read revision 2 of a market and both edit it. The second
// would undo the first one's change without noticing, unless he is told.
func TestApplyRaceOnOneSection(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	s.beforePut = func() {
		apply(c, s, edit("market/cr", marketText("v2", "asistente"), 2, "a"))
	}
	_, err := newEditor(s).Apply(context.Background(), edit("market/cr", marketText("v3", "asistente"), 2, "b"))
	var conflict *ggsdocument.SectionConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(*conflict, qt.Equals, ggsdocument.SectionConflictError{
		Section: "market/cr", BaseRevision: 2, Changed: 3, By: "op-a", Change: "a",
	})
}

// Two operators edit different markets at the same time. Neither has to know
// of the other: both changes are accepted.
func TestApplyRaceOnTwoSections(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	s.beforePut = func() {
		apply(c, s, edit("market/wa", marketText("v2", "asistente"), 0, "a"))
	}
	c.Assert(apply(c, s, edit("market/cr", marketText("v3", "asistente"), 2, "b")), qt.Equals, ggscore.Revision(4))
	c.Assert(headOf(c, s).Changes, qt.HasLen, 4)
}

// One operator takes a service away while another lets his market use it.
// Each section is valid beside what its author read; together they would
// leave a market without its service.
func TestApplyRaceJointlyInvalid(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	more := servicesText + "\n[[services]]\nname = \"resumen\"\nbaseModel = \"base-8b\"\nslots = 1\nadapterSlots = 1\n"
	apply(c, s, edit("services", []byte(more), 2, "s2"))
	s.beforePut = func() {
		apply(c, s, edit("services", []byte(servicesText), 3, "s3"))
	}
	_, err := newEditor(s).Apply(context.Background(), edit("market/cr", marketText("v1x", "asistente", "resumen"), 3, "m2"))
	var invalid *ggsdocument.SectionError
	c.Assert(errors.As(err, &invalid), qt.IsTrue)
	c.Assert(invalid, qt.ErrorMatches, `market/cr:13: uses\["resumen"\].service: no service "resumen" in section services`)
	c.Assert(headOf(c, s).Revision, qt.Equals, ggscore.Revision(4))
}

// A change is accepted but its answer is lost, and others write before the
// operator's client looks. Repeating it would make it twice; reporting a
// failure would hide it.
func TestApplyLostAnswer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	s.loseAnswers = 1
	a, err := newEditor(&interleaved{faultyStore: s, afterLost: func() {
		apply(c, s, edit("market/wa", marketText("v2", "asistente"), 0, "other"))
	}}).Apply(context.Background(), edit("market/cr", marketText("v2", "asistente"), 2, "b"))
	c.Assert(err, qt.IsNil)
	c.Assert(a.Revision, qt.Equals, ggscore.Revision(3))
	h := headOf(c, s)
	c.Assert(h.Revision, qt.Equals, ggscore.Revision(4))
	c.Assert(countOfB(h), qt.Equals, 1)
}

// The same, but an operator changes the same section after the lost answer:
// the first change was accepted and has been replaced, which is no conflict.
func TestApplyLostAnswerThenReplaced(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	s.loseAnswers = 1
	a, err := newEditor(&interleaved{faultyStore: s, afterLost: func() {
		apply(c, s, edit("market/cr", marketText("v9", "asistente"), 3, "other"))
	}}).Apply(context.Background(), edit("market/cr", marketText("v2", "asistente"), 2, "b"))
	c.Assert(err, qt.IsNil)
	c.Assert(a.Revision, qt.Equals, ggscore.Revision(3))
	c.Assert(headOf(c, s).Sections["market/cr"].Change, qt.Equals, ggsdocument.ChangeID("other"))
}

// A write of the head is held up in the network and lands after the client has
// tried again. Both name the same previous revision, so one takes effect.
func TestApplyDelayedWrite(t *testing.T) {
	t.Parallel()
	for name, landFirst := range map[string]bool{"lands before the retry": true, "lands after the retry": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := filledStore(c)
			s.delayWrites = 1
			r := apply(c, &interleaved{faultyStore: s, afterLost: func() {
				if landFirst {
					s.land()
				}
			}}, edit("market/cr", marketText("v2", "asistente"), 2, "b"))
			s.land()
			c.Assert(r, qt.Equals, ggscore.Revision(3))
			h := headOf(c, s)
			c.Assert(h.Revision, qt.Equals, ggscore.Revision(3))
			c.Assert(countOfB(h), qt.Equals, 1)
		})
	}
}

// The platform goes away right after a write whose answer is lost. The client
// can't know; it must say so, and the same change applied again under its id
// must not be made twice.
func TestApplyUnknownOutcome(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	s.loseAnswers = 1
	d := edit("market/cr", marketText("v2", "asistente"), 2, "b")
	_, err := newEditor(&interleaved{faultyStore: s, afterLost: func() { s.setAway(true) }}).Apply(context.Background(), d)
	var unknown *ggsconfig.UnknownOutcomeError
	c.Assert(errors.As(err, &unknown), qt.IsTrue)
	c.Assert(unknown.Change, qt.Equals, ggsdocument.ChangeID("b"))
	s.setAway(false)
	d.Repeated = true
	c.Assert(apply(c, s, d), qt.Equals, ggscore.Revision(3))
	c.Assert(countOfB(headOf(c, s)), qt.Equals, 1)
}

// An operator repeats a change of unknown outcome after so many others that
// the history can't tell. Applying it would undo what came after it.
func TestApplyRepeatedTooLate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	for i := range ggsdocument.HistoryLength + 1 {
		apply(c, s, edit("market/wa", marketText(fmt.Sprint("w", i), "asistente"), headOf(c, s).Revision, fmt.Sprint("w", i)))
	}
	d := edit("market/cr", marketText("v2", "asistente"), 2, "b")
	d.Repeated = true
	_, err := newEditor(s).Apply(context.Background(), d)
	var unknown *ggsconfig.UnknownOutcomeError
	c.Assert(errors.As(err, &unknown), qt.IsTrue)
	c.Assert(countOfB(headOf(c, s)), qt.Equals, 0)
}

// After a lost answer so many changes follow that the history no longer
// reaches back to the try, and the section was changed again. The client must
// not guess.
func TestApplyHistoryPassed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	s.loseAnswers = 1
	_, err := newEditor(&interleaved{faultyStore: s, afterLost: func() {
		apply(c, s, edit("market/cr", marketText("v9", "asistente"), 3, "replaced"))
		for i := range ggsdocument.HistoryLength {
			apply(c, s, edit("market/wa", marketText(fmt.Sprint("w", i), "asistente"), headOf(c, s).Revision, fmt.Sprint("w", i)))
		}
	}}).Apply(context.Background(), edit("market/cr", marketText("v2", "asistente"), 2, "b"))
	var unknown *ggsconfig.UnknownOutcomeError
	c.Assert(errors.As(err, &unknown), qt.IsTrue)
	var passed *ggsconfig.HistoryPassedError
	c.Assert(errors.As(err, &passed), qt.IsTrue)
}

// As many changes follow, but the section wasn't changed again: its state still
// names the change.
func TestApplyHistoryPassedButLatest(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	s.loseAnswers = 1
	r := apply(c, &interleaved{faultyStore: s, afterLost: func() {
		for i := range ggsdocument.HistoryLength {
			apply(c, s, edit("market/wa", marketText(fmt.Sprint("w", i), "asistente"), headOf(c, s).Revision, fmt.Sprint("w", i)))
		}
	}}, edit("market/cr", marketText("v2", "asistente"), 2, "b"))
	c.Assert(r, qt.Equals, ggscore.Revision(3))
}

// The platform is restored from an old copy. An operator who had read a later
// revision, or whose client knows that one is in force, must not build on it:
// no process would take the change.
func TestApplyOnRestoredPlatform(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	old := s.copyOf()
	apply(c, s, edit("market/cr", marketText("v2", "asistente"), 2, "a"))
	s.restore(old)

	_, err := newEditor(s).Apply(context.Background(), edit("market/cr", marketText("v3", "asistente"), 3, "b"))
	var future *ggsdocument.FutureRevisionError
	c.Assert(errors.As(err, &future), qt.IsTrue)

	e := ggsconfig.NewEditor(s, ggsconfig.EditorOptions{Pause: time.Microsecond, Floor: 3})
	_, err = e.Apply(context.Background(), edit("market/cr", marketText("v3", "asistente"), 2, "b"))
	var lower *ggsdocument.LowerHeadError
	c.Assert(errors.As(err, &lower), qt.IsTrue)
}

func TestApplyDryRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	r := apply(c, ggsconfig.NewDryRunStore(s), edit("market/cr", marketText("v2", "asistente"), 2, "a"))
	c.Assert(r, qt.Equals, ggscore.Revision(3))
	c.Assert(headOf(c, s).Revision, qt.Equals, ggscore.Revision(2))
}

func TestApplyUnchanged(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	a, err := newEditor(s).Apply(context.Background(), edit("market/cr", marketText("v1x", "asistente"), 2, "a"))
	c.Assert(err, qt.IsNil)
	c.Assert(a, qt.Equals, ggsconfig.Accepted{Revision: 2, Unchanged: true})
}

func TestHeadRoundTrip(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := headOf(c, filledStore(c))
	back, err := ggsconfig.DecodeHead(ggsconfig.EncodeHead(h))
	c.Assert(err, qt.IsNil)
	c.Assert(back, qt.DeepEquals, h)
	for name, text := range map[string]string{
		"digest":      `{"revision":1,"sections":[{"digest":"zz"}]}`,
		"replaced":    `{"revision":1,"changes":[{"replaced":"zz"}]}`,
		"unknown key": `{"revision":1,"later":2}`,
		"no JSON":     `revision 1`,
	} {
		var b bytes.Buffer
		z := gzip.NewWriter(&b)
		_, err = z.Write([]byte(text))
		c.Assert(err, qt.IsNil)
		c.Assert(z.Close(), qt.IsNil)
		_, err = ggsconfig.DecodeHead(b.Bytes())
		var bad *ggsconfig.BadHeadError
		c.Assert(errors.As(err, &bad), qt.IsTrue, qt.Commentf("%s", name))
	}
	_, err = ggsconfig.DecodeHead([]byte(`{"revision":1}`))
	var bad *ggsconfig.BadHeadError
	c.Assert(errors.As(err, &bad), qt.IsTrue)
}

// An interleaved store lets something happen between a lost answer and the
// client's next call.
type interleaved struct {
	*faultyStore
	afterLost func()
}

func (s *interleaved) Put(
	ctx context.Context, k ggscore.Key, v []byte, prev ggscore.StoreRevision, l ggscore.LeaseID,
) (ggscore.StoreRevision, error) {
	r, err := s.faultyStore.Put(ctx, k, v, prev, l)
	var lost *ggscore.AmbiguousWriteError
	if f := s.afterLost; f != nil && errors.As(err, &lost) {
		s.afterLost = nil
		f()
	}
	return r, err
}

// countOfB counts the revisions that change b made.
func countOfB(h ggsdocument.Head) int {
	n := 0
	for _, c := range h.Changes {
		if c.ID == "b" {
			n++
		}
	}
	return n
}
