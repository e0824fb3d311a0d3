// Package ggsregistry decides which endpoints are on the list, also once the store has come
// back from an older copy of itself.
//
// # Usage
//
//	r := ggsregistry.NewRegistry()
//	list := r.Read(now, at, entries) // each reading of the endpoints' entries
//	due := r.Due(now)                // read again by then, whatever others saw change
//
// Within an epoch the entries are the list. A copy lacks the entries of endpoints that came
// up since, still has those of endpoints that are gone, and shows endpoints as ready that have
// said that they leave. Endpoints write what was lost again within about two seconds; one that
// is gone writes nothing. So in a new epoch
//
//   - an endpoint that was seen leaving stays so for its process;
//   - one that is missing stays for MissingGrace;
//   - one that was seen to be gone stays so for its process until its entry is written in the
//     new epoch, or has outlived its process for as long as entries do.
//
// The package holds no clock, no goroutine and no lock.
package ggsregistry

import (
	"maps"
	"time"

	ggscore "greengageslip/core"
)

const (
	// MissingGrace is how long endpoints whose entries were lost stay on the list.
	MissingGrace = 2 * time.Second
	// CopyTrust is the time in a new epoch from which an entry that is still there is of a
	// process that lives: others lapse after three heartbeats.
	CopyTrust = 10 * time.Second
	// goneAge is how long an endpoint that left the list is remembered. Copies are seconds old.
	goneAge = time.Minute
)

// An Entry is an endpoint's entry.
type Entry struct {
	ggscore.Instance
	Revision ggscore.StoreRevision
}

// A Registry keeps the list of endpoints.
type Registry struct {
	read  bool
	epoch ggscore.StoreEpoch
	// since is the first reading of the epoch, where another was known before.
	since time.Time
	list  map[ggscore.EndpointID]ggscore.Instance
	// missing are the endpoints of the epoch before whose entries were not seen since.
	missing map[ggscore.EndpointID]ggscore.Instance
	// copied are the revisions of the entries in the first reading of the epoch.
	copied map[ggscore.EndpointID]ggscore.StoreRevision
	// leaving are the starts of processes that were seen leaving in an epoch before.
	leaving map[ggscore.EndpointID]time.Time
	gone    map[ggscore.EndpointID]departure
}

// A departure is when an endpoint's process left the list.
type departure struct {
	born time.Time
	at   time.Time
}

// NewRegistry returns a Registry that knows no endpoint.
func NewRegistry() *Registry {
	return &Registry{leaving: map[ggscore.EndpointID]time.Time{}, gone: map[ggscore.EndpointID]departure{}}
}

// Read takes a reading of the entries as of a position, and returns the list.
func (r *Registry) Read(now time.Time, at ggscore.StorePosition, es []Entry) []ggscore.Instance {
	if r.read && at.Epoch > r.epoch {
		r.enter(now, es)
	}
	r.read, r.epoch = true, max(at.Epoch, r.epoch)
	if !r.within(now, MissingGrace) {
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
		if born, ok := r.leaving[i.ID]; ok && born.Equal(i.Born) {
			i.Leaving = true
		}
		list[i.ID] = i
		out = append(out, i)
	}
	for id, i := range r.missing {
		list[id] = i
		out = append(out, i)
	}
	r.remember(now, list)
	return out
}

// enter begins an epoch with its first reading.
func (r *Registry) enter(now time.Time, es []Entry) {
	r.since, r.missing = now, maps.Clone(r.list)
	r.copied = make(map[ggscore.EndpointID]ggscore.StoreRevision, len(es))
	for _, e := range es {
		r.copied[e.ID] = e.Revision
	}
	for id, i := range r.list {
		if i.Leaving {
			r.leaving[id] = i.Born
		}
	}
}

// within reports whether the epoch has begun so lately, and another was known before.
func (r *Registry) within(now time.Time, d time.Duration) bool {
	return !r.since.IsZero() && now.Sub(r.since) < d
}

// staleCopy reports whether an entry is a copy's of a process that was seen to be gone.
func (r *Registry) staleCopy(now time.Time, e Entry) bool {
	d, ok := r.gone[e.ID]
	return ok && d.born.Equal(e.Born) && d.at.Before(r.since) && r.copied[e.ID] == e.Revision && r.within(now, CopyTrust)
}

// remember takes the list, and notes which endpoints have left it.
func (r *Registry) remember(now time.Time, list map[ggscore.EndpointID]ggscore.Instance) {
	for id, i := range r.list {
		if _, ok := list[id]; !ok {
			r.gone[id] = departure{born: i.Born, at: now}
		}
	}
	maps.DeleteFunc(r.gone, func(id ggscore.EndpointID, d departure) bool { return now.Sub(d.at) > goneAge })
	maps.DeleteFunc(r.leaving, func(id ggscore.EndpointID, _ time.Time) bool {
		_, listed := list[id]
		_, left := r.gone[id]
		return !listed && !left
	})
	r.list = list
}

// Due returns when the list changes though no entry does, zero for never.
func (r *Registry) Due(now time.Time) time.Time {
	if len(r.missing) > 0 {
		return r.since.Add(MissingGrace)
	}
	for id, d := range r.gone {
		if _, ok := r.copied[id]; ok && d.at.Before(r.since) && r.within(now, CopyTrust) {
			return r.since.Add(CopyTrust)
		}
	}
	return time.Time{}
}
