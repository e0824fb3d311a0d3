package ggsedge

import (
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdefect"
	"greengageslip/io/ggslog"
)

// A DefectState is an entry of the store, or a part of one, that can't be read.
type DefectState struct {
	Key ggscore.Key
	// Part names the part of the entry, empty for the whole entry.
	Part     string
	Revision ggscore.StoreRevision
	Reason   string
	// Age is the time since this VM first failed to read it.
	Age time.Duration
}

// defectOf returns the defect of a whole entry.
func defectOf(n ggscore.Entry, err error) ggsdefect.Defect {
	return ggsdefect.Defect{Key: n.Key, Revision: n.Revision, Reason: err.Error()}
}

// replaceDefects records which of all entries below a prefix can't be read.
func (e *Edge) replaceDefects(prefix ggscore.Key, ds []ggsdefect.Defect) {
	e.mu.Lock()
	c := e.defects.Replace(e.Now(), prefix, ds)
	e.mu.Unlock()
	e.logDefects(c)
}

// setDefects records which parts of an entry can't be read, none if it is sound or deleted.
func (e *Edge) setDefects(k ggscore.Key, ds ...ggsdefect.Defect) {
	e.mu.Lock()
	c := e.defects.Set(e.Now(), k, ds)
	e.mu.Unlock()
	e.logDefects(c)
}

func (e *Edge) logDefects(c ggsdefect.Change) {
	for _, d := range c.Appeared {
		_ = level.Warn(e.Log).Log("event", ggslog.EventEntryUnreadable, "key", d.Key, "part", d.Part, "revision", d.Revision, "err", d.Reason)
	}
	for _, d := range c.Resolved {
		_ = level.Warn(e.Log).Log("event", ggslog.EventEntryReadable, "key", d.Key, "part", d.Part, "unreadableFor", e.Now().Sub(d.Since))
	}
}

// defectStates returns the entries that can't be read. Edge.mu is held.
func (e *Edge) defectStates(now time.Time) []DefectState {
	var ss []DefectState
	for _, d := range e.defects.Defects() {
		ss = append(ss, DefectState{Key: d.Key, Part: d.Part, Revision: d.Revision, Reason: d.Reason, Age: now.Sub(d.Since)})
	}
	return ss
}
