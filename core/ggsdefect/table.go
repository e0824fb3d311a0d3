// Package ggsdefect tracks entries of the store that can't be read, so that an operator learns of each once when it
// becomes unreadable and once when it is readable again, however often it is read.
//
// # Usage
//
//	t := ggsdefect.NewTable()
//	change := t.Replace(now, prefix, defects) // all entries below a prefix were read
//	change = t.Set(now, key, defects)          // a single entry was read
//	for _, d := range change.Appeared { log(d) }
//	all := t.Defects()
//
// What another writer leaves may be long and many: reasons are cut, and at most MaxDefects are kept, the rest counted.
// A Table has no clock and no lock of its own.
package ggsdefect

import (
	"cmp"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	ggscore "greengageslip/core"
)

const (
	// MaxDefects bounds the defects that a table keeps.
	MaxDefects = 256
	// MaxReasonBytes bounds the reason of a defect, which may quote the entry.
	MaxReasonBytes = 200
)

// A Defect is an entry, or a part of one, that can't be read.
type Defect struct {
	Key ggscore.Key
	// Part names the part of the entry, empty for the whole entry.
	Part     string
	Revision ggscore.StoreRevision
	Reason   string
	// Since is when the entry was first read as unreadable.
	Since time.Time
}

// A Change is what a reading has changed.
type Change struct {
	Appeared []Defect
	Resolved []Defect
}

type place struct {
	key  ggscore.Key
	part string
}

// A Table has the defects of the entries that were read last.
type Table struct {
	defects map[place]Defect
	// left counts the defects that aren't kept, by the prefix or key of their reading.
	left map[ggscore.Key]int
}

// NewTable returns a table without defects.
func NewTable() *Table {
	return &Table{defects: map[place]Defect{}, left: map[ggscore.Key]int{}}
}

// Replace records a reading of all entries below a prefix, with those that can't be read.
func (t *Table) Replace(now time.Time, prefix ggscore.Key, ds []Defect) Change {
	return t.replace(now, prefix, ds, func(k ggscore.Key) bool { return strings.HasPrefix(string(k), string(prefix)) })
}

// Set records a reading of one entry, with its parts that can't be read.
func (t *Table) Set(now time.Time, key ggscore.Key, ds []Defect) Change {
	return t.replace(now, key, ds, func(k ggscore.Key) bool { return k == key })
}

func (t *Table) replace(now time.Time, read ggscore.Key, ds []Defect, within func(ggscore.Key) bool) Change {
	var c Change
	seen := make(map[place]bool, len(ds))
	t.left[read] = 0
	for _, d := range ds {
		p := place{d.Key, d.Part}
		seen[p] = true
		known, ok := t.defects[p]
		if !ok && len(t.defects) >= MaxDefects {
			t.left[read]++
			continue
		}
		d.Reason, d.Since = cut(d.Reason), now
		if ok {
			d.Since = known.Since
		} else {
			c.Appeared = append(c.Appeared, d)
		}
		t.defects[p] = d
	}
	for p, d := range t.defects {
		if within(p.key) && !seen[p] {
			delete(t.defects, p)
			c.Resolved = append(c.Resolved, d)
		}
	}
	slices.SortFunc(c.Resolved, compare)
	if t.left[read] == 0 {
		delete(t.left, read)
	}
	return c
}

// Defects returns the defects in the order of their keys.
func (t *Table) Defects() []Defect {
	ds := make([]Defect, 0, len(t.defects))
	for _, d := range t.defects {
		ds = append(ds, d)
	}
	slices.SortFunc(ds, compare)
	return ds
}

// Len returns the number of defects, those that aren't kept included.
func (t *Table) Len() int {
	n := len(t.defects)
	for _, l := range t.left {
		n += l
	}
	return n
}

func compare(a, b Defect) int { return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Part, b.Part)) }

// cut shortens a reason to MaxReasonBytes, at the beginning of a character.
func cut(s string) string {
	if len(s) <= MaxReasonBytes {
		return s
	}
	n := MaxReasonBytes
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n] + "…"
}
