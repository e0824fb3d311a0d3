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
	return ggsconfig.NewEditor(s, ggsconfig.EditorOptions{MaxAttempts: 6, InitialBackoff: time.Microsecond})
}

func edit(n ggscore.SectionName, text []byte, readAt ggscore.Revision, id string) ggsconfig.Edit {
	return ggsconfig.Edit{Section: n, Text: text, BaseRevision: readAt, By: "op-" + id, ID: ggsdocument.ChangeID(id)}
}

// apply applies a change and asserts that it is accepted.
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

// Guards against a change that silently overwrites another. Two operators edit the same section
// from revision 2, so the second change must get a conflict error.
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

// Guards against a conflict error for concurrent changes of different sections.
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

// Guards against two changes that are valid alone but leave a market that uses a missing service.
// One operator removes the service while another adds a use of it to the market.
func TestApplyRaceInvalidCombination(t *testing.T) {
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

// Guards against a change that is applied twice, or reported as failed although it was accepted.
// Its answer is lost, and another change follows before the retry.
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

// Guards against a conflict error for a change that was accepted. Its answer is lost, and another
// operator then replaces the same section.
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

// Guards against a change that is written twice when a write of the head is delayed and retried.
// Both writes are conditional on the same previous revision, so only one may take effect.
func TestApplyDelayedWrite(t *testing.T) {
	t.Parallel()
	for name, beforeRetry := range map[string]bool{"applied before the retry": true, "applied after the retry": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := filledStore(c)
			s.delayWrites = 1
			r := apply(c, &interleaved{faultyStore: s, afterLost: func() {
				if beforeRetry {
					s.releaseDelayed()
				}
			}}, edit("market/cr", marketText("v2", "asistente"), 2, "b"))
			s.releaseDelayed()
			c.Assert(r, qt.Equals, ggscore.Revision(3))
			h := headOf(c, s)
			c.Assert(h.Revision, qt.Equals, ggscore.Revision(3))
			c.Assert(countOfB(h), qt.Equals, 1)
		})
	}
}

// Guards against a definite result for a change of unknown outcome, and against applying the change
// twice when it is repeated with the same ID. The platform becomes unavailable right after a write
// whose answer is lost.
func TestApplyUnknownOutcome(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	s.loseAnswers = 1
	d := edit("market/cr", marketText("v2", "asistente"), 2, "b")
	_, err := newEditor(&interleaved{faultyStore: s, afterLost: func() { s.setUnavailable(true) }}).Apply(context.Background(), d)
	var unknown *ggsconfig.UnknownOutcomeError
	c.Assert(errors.As(err, &unknown), qt.IsTrue)
	c.Assert(unknown.Change, qt.Equals, ggsdocument.ChangeID("b"))
	s.setUnavailable(false)
	d.Repeated = true
	c.Assert(apply(c, s, d), qt.Equals, ggscore.Revision(3))
	c.Assert(countOfB(headOf(c, s)), qt.Equals, 1)
}

// Guards against a repeated change that overwrites later changes. The history no longer holds the
// first attempt, so the outcome must stay unknown.
func TestApplyRepeatedAfterHistoryTrimmed(t *testing.T) {
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

// Guards against a definite result for a change whose outcome can't be determined. After its lost
// answer the section is changed again, and further changes push the change out of the history.
func TestApplyHistoryTrimmed(t *testing.T) {
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
	var trimmed *ggsconfig.HistoryTrimmedError
	c.Assert(errors.As(err, &trimmed), qt.IsTrue)
}

// Guards against an unknown outcome for a change that is no longer in the history, but whose ID is
// still in the section's state because the section wasn't changed again.
func TestApplyHistoryTrimmedSectionUnchanged(t *testing.T) {
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

// Guards against changes of a head that was restored from an old copy, which every process would
// refuse as lower than its own. A change based on a later revision, or made with a MinRevision above
// the restored head, must be refused.
func TestApplyOnRestoredPlatform(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	old := s.snapshot()
	apply(c, s, edit("market/cr", marketText("v2", "asistente"), 2, "a"))
	s.restore(old)

	_, err := newEditor(s).Apply(context.Background(), edit("market/cr", marketText("v3", "asistente"), 3, "b"))
	var future *ggsdocument.FutureRevisionError
	c.Assert(errors.As(err, &future), qt.IsTrue)

	e := ggsconfig.NewEditor(s, ggsconfig.EditorOptions{InitialBackoff: time.Microsecond, MinRevision: 3})
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
		"not JSON":    `revision 1`,
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

// An interleaved store runs afterLost between the first ambiguous write and the client's
// next call.
type interleaved struct {
	*faultyStore
	afterLost func()
}

func (s *interleaved) Put(
	ctx context.Context, k ggscore.Key, v []byte, prev ggscore.StoreRevision, l ggscore.LeaseID,
) (ggscore.StoreRevision, error) {
	r, err := s.faultyStore.Put(ctx, k, v, prev, l)
	var ambiguous *ggscore.AmbiguousWriteError
	if f := s.afterLost; f != nil && errors.As(err, &ambiguous) {
		s.afterLost = nil
		f()
	}
	return r, err
}

// countOfB returns the number of revisions that change b produced.
func countOfB(h ggsdocument.Head) int {
	n := 0
	for _, c := range h.Changes {
		if c.ID == "b" {
			n++
		}
	}
	return n
}
