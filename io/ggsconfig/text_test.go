package ggsconfig_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggsconfig"
)

// changeOther makes n changes of market/wa.
func changeOther(c *qt.C, s *faultyStore, n int) {
	c.Helper()
	for range n {
		r := headOf(c, s).Revision
		id := fmt.Sprint("w", r)
		apply(c, s, edit("market/wa", marketText(id, "asistente"), r, id))
	}
}

// texts counts the sections' texts in the store.
func texts(c *qt.C, s *faultyStore) int {
	l, err := s.List(context.Background(), "config/sections/")
	c.Assert(err, qt.IsNil)
	return len(l)
}

// Thousands of changes a day each leave a text behind. Unless old ones go, the
// platform's service fills up.
func TestApplyDropsTexts(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	changeOther(c, s, 3*ggsdocument.HistoryLength)
	// Those in use, and those that the history's changes replaced.
	c.Assert(texts(c, s), qt.Equals, 3+ggsdocument.HistoryLength)
	_, err := newEditor(s).Read(context.Background())
	c.Assert(err, qt.IsNil)
}

// An operator goes back to a text that was replaced 64 changes ago, while
// another's change drops that text. The document would be left without it.
func TestApplyReusesDroppedText(t *testing.T) {
	t.Parallel()
	old := marketText("v1x", "asistente")
	for name, race := range map[string]func(c *qt.C, s *faultyStore){
		"dropped before the head is swapped": func(c *qt.C, s *faultyStore) {
			s.beforePut = func() { changeOther(c, s, 1) }
		},
		"deletion lands late": func(c *qt.C, s *faultyStore) {
			s.delayDeletes = true
			changeOther(c, s, 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := filledStore(c)
			apply(c, s, edit("market/cr", marketText("v2", "asistente"), 2, "a"))
			changeOther(c, s, ggsdocument.HistoryLength-1)
			before := headOf(c, s)
			race(c, s)
			apply(c, s, edit("market/cr", old, before.Revision, "b"))
			s.land()
			n, err := newEditor(s).Read(context.Background())
			c.Assert(err, qt.IsNil)
			c.Assert(string(n.Texts["market/cr"]), qt.Equals, string(old))
			c.Assert(n.Head.UnusedTexts(before), qt.HasLen, 0)
		})
	}
}

// A dry run must not delete what the change would drop.
func TestDryRunDropsNothing(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	changeOther(c, s, ggsdocument.HistoryLength+1)
	before := texts(c, s)
	r := headOf(c, s).Revision
	apply(c, ggsconfig.NewDryRunStore(s), edit("market/cr", marketText("v2", "asistente"), r, "a"))
	c.Assert(texts(c, s), qt.Equals, before)
}
