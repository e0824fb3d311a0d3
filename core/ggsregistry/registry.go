// Package ggsregistry decides which endpoints are on the list, even after the store was
// restored from an older copy.
//
// Its input is each reading of the endpoints' entries in the store. Its outputs are the list
// of endpoints and the time at which the list may change without a change of the entries.
//
// # Usage
//
//	r := ggsregistry.NewRegistry()
//	list := r.Read(now, at, entries) // each reading of the endpoints' entries
//	due := r.Due(now)                // read again by then, even if nothing changed
//
// Within an epoch the list equals the entries. An older copy of the store lacks the entries of
// endpoints that started after it was made, still has the entries of endpoints that were
// removed since, and shows leaving endpoints as ready. Live endpoints write lost entries again
// within about two seconds; removed endpoints write nothing. In a new epoch:
//
//   - An endpoint that was seen leaving stays marked as leaving until its process restarts.
//   - An endpoint whose entry is missing stays on the list for MissingGrace.
//   - An endpoint that was seen removed stays off the list until it has a new process, its
//     entry is written in the new epoch, or its entry still exists after StaleCopyPeriod.
//
// A Registry has no clock, goroutine or lock of its own; the caller passes times and
// serializes access.
package ggsregistry

import (
	"maps"
	"time"

	ggscore "greengageslip/core"
)

const (
	// MissingGrace is how long endpoints whose entries were lost stay on the list. Live
	// endpoints write their entries again within about that time.
	MissingGrace = 2 * time.Second
	// StaleCopyPeriod is how long after the start of an epoch a copied entry may belong to a
	// process that has ended. After this period the entries of such processes have expired,
	// since three heartbeats were missed.
	StaleCopyPeriod = 10 * time.Second
	// removalMaxAge is how long the removal of an endpoint is remembered. Copies of the store are
	// only seconds old.
	removalMaxAge = time.Minute
)

// An Entry is an endpoint's entry in the store.
type Entry struct {
	ggscore.Instance
	Revision ggscore.StoreRevision
}

// A Registry maintains the list of endpoints across epochs of the store.
type Registry struct {
	read  bool
	epoch ggscore.StoreEpoch
	// epochSince is the time of the epoch's first reading, zero in the first known epoch.
	epochSince time.Time
	list       map[ggscore.EndpointID]ggscore.Instance
	// missing are the endpoints of the previous epoch whose entries weren't read since.
	missing map[ggscore.EndpointID]ggscore.Instance
	// copied are the revisions of the entries in the epoch's first reading.
	copied map[ggscore.EndpointID]ggscore.StoreRevision
	// leaving are the start times of processes that were seen leaving in an earlier epoch.
	leaving map[ggscore.EndpointID]time.Time
	removed map[ggscore.EndpointID]removal
}

// A removal records the removal of an endpoint's process from the list.
type removal struct {
	startedAt time.Time
	at        time.Time
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{leaving: map[ggscore.EndpointID]time.Time{}, removed: map[ggscore.EndpointID]removal{}}
}

// Read applies a reading of the entries as of a position, and returns the list.
func (r *Registry) Read(now time.Time, at ggscore.StorePosition, es []Entry) []ggscore.Instance {
	if r.read && at.Epoch > r.epoch {
		r.beginEpoch(now, es)
	}
	r.read, r.epoch = true, max(at.Epoch, r.epoch)
	if !r.epochYoungerThan(now, MissingGrace) {
		clear(r.missing)
	}
	list := make(map[ggscore.EndpointID]ggscore.Instance, len(es))
	out := make([]ggscore.Instance, 0, len(es))
	for _, e := range es {
		delete(r.missing, e.ID)
		if r.staleCopy(now, e) {
			continue
		}
		i := e.Instance
		if startedAt, ok := r.leaving[i.ID]; ok && startedAt.Equal(i.StartedAt) {
			i.Leaving = true
		}
		list[i.ID] = i
		out = append(out, i)
	}
	for id, i := range r.missing {
		list[id] = i
		out = append(out, i)
	}
	r.setList(now, list)
	return out
}

// beginEpoch starts an epoch with its first reading.
func (r *Registry) beginEpoch(now time.Time, es []Entry) {
	r.epochSince, r.missing = now, maps.Clone(r.list)
	r.copied = make(map[ggscore.EndpointID]ggscore.StoreRevision, len(es))
	for _, e := range es {
		r.copied[e.ID] = e.Revision
	}
	for id, i := range r.list {
		if i.Leaving {
			r.leaving[id] = i.StartedAt
		}
	}
}

// epochYoungerThan reports whether the epoch began less than d ago. It is false in the first
// known epoch.
func (r *Registry) epochYoungerThan(now time.Time, d time.Duration) bool {
	return !r.epochSince.IsZero() && now.Sub(r.epochSince) < d
}

// staleCopy reports whether an entry is a copy from before its process was seen removed.
func (r *Registry) staleCopy(now time.Time, e Entry) bool {
	d, ok := r.removed[e.ID]
	return ok && d.startedAt.Equal(e.StartedAt) && d.at.Before(r.epochSince) && r.copied[e.ID] == e.Revision && r.epochYoungerThan(now, StaleCopyPeriod)
}

// setList stores the list and records the endpoints that were removed from it.
func (r *Registry) setList(now time.Time, list map[ggscore.EndpointID]ggscore.Instance) {
	for id, i := range r.list {
		if _, ok := list[id]; !ok {
			r.removed[id] = removal{startedAt: i.StartedAt, at: now}
		}
	}
	maps.DeleteFunc(r.removed, func(id ggscore.EndpointID, d removal) bool { return now.Sub(d.at) > removalMaxAge })
	maps.DeleteFunc(r.leaving, func(id ggscore.EndpointID, _ time.Time) bool {
		_, listed := list[id]
		_, removed := r.removed[id]
		return !listed && !removed
	})
	r.list = list
}

// Due returns when the list may change without a change of the entries, zero for never.
func (r *Registry) Due(now time.Time) time.Time {
	if len(r.missing) > 0 {
		return r.epochSince.Add(MissingGrace)
	}
	for id, d := range r.removed {
		if _, ok := r.copied[id]; ok && d.at.Before(r.epochSince) && r.epochYoungerThan(now, StaleCopyPeriod) {
			return r.epochSince.Add(StaleCopyPeriod)
		}
	}
	return time.Time{}
}
