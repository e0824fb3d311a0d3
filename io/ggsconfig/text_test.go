package ggsconfig_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggsconfig"
)

// changeOther applies n changes to market/wa.
func changeOther(c *qt.C, s *faultyStore, n int) {
	c.Helper()
	for range n {
		r := headOf(c, s).Revision
		id := fmt.Sprint("w", r)
		apply(c, s, edit("market/wa", marketText(id, "asistente"), r, id))
	}
}

// textCount returns the number of section texts in the store.
func textCount(c *qt.C, s *faultyStore) int {
	l, err := s.List(context.Background(), "config/sections/")
	c.Assert(err, qt.IsNil)
	return len(l)
}

// Guards against a platform service that runs out of space. Thousands of changes a day each replace
// a text, which must be deleted once it is unused.
func TestApplyDeletesUnusedTexts(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	changeOther(c, s, 3*ggsdocument.HistoryLength)
	// The three texts in use, and those replaced by changes in the history.
	c.Assert(textCount(c, s), qt.Equals, 3+ggsdocument.HistoryLength)
	_, err := newEditor(s).Read(context.Background())
	c.Assert(err, qt.IsNil)
}

// Guards against a document that loses a section. An operator restores a text that was replaced 64
// changes ago, while another editor's change deletes that text as unused.
func TestApplyReusesUnusedText(t *testing.T) {
	t.Parallel()
	old := marketText("v1x", "asistente")
	for name, race := range map[string]func(c *qt.C, s *faultyStore){
		"deleted before the head is swapped": func(c *qt.C, s *faultyStore) {
			s.beforePut = func() { changeOther(c, s, 1) }
		},
		"deletion delayed": func(c *qt.C, s *faultyStore) {
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
			s.releaseDelayed()
			n, err := newEditor(s).Read(context.Background())
			c.Assert(err, qt.IsNil)
			c.Assert(string(n.Texts["market/cr"]), qt.Equals, string(old))
			c.Assert(n.Head.UnusedTexts(before), qt.HasLen, 0)
		})
	}
}

// Guards against a dry run that deletes the texts that its change would leave unused.
func TestDryRunDeletesNothing(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := filledStore(c)
	changeOther(c, s, ggsdocument.HistoryLength+1)
	before := textCount(c, s)
	r := headOf(c, s).Revision
	apply(c, ggsconfig.NewDryRunStore(s), edit("market/cr", marketText("v2", "asistente"), r, "a"))
	c.Assert(textCount(c, s), qt.Equals, before)
}
