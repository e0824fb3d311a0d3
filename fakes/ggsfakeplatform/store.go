package ggsfakeplatform

import (
	"sort"
	"strings"
	"time"
)

// An entry is a value or, where gone is set, the trace of a deleted one.
type entry struct {
	value    []byte
	revision uint64
	lease    uint64
	gone     bool
}

// A lease is one grant.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// A change is one write, in the order of revisions.
type change struct {
	revision uint64
	key      string
}

// A store is the key-value service's state. It holds no lock and no clock.
type store struct {
	revision  uint64
	lastLease uint64
	entries   map[string]entry
	leases    map[uint64]*lease
	changes   []change
}

func newStore() *store {
	return &store{entries: map[string]entry{}, leases: map[uint64]*lease{}}
}

func (s *store) delete(key string, prev uint64) (uint64, error) {
	e := s.get(key)
	if e.revision != prev || prev == 0 {
		return 0, &conflictError{key: key, have: e.revision}
	}
	s.remove(key)
	return s.revision, nil
}

// get returns the entry, the zero one if there is none.
func (s *store) get(key string) entry {
	e := s.entries[key]
	if e.gone {
		return entry{}
	}
	return e
}

func (s *store) grant(now time.Time, ttl time.Duration) (uint64, error) {
	if ttl <= 0 {
		return 0, &badCallError{detail: "ttl is to be positive"}
	}
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: now.Add(ttl), keys: map[string]bool{}}
	return s.lastLease, nil
}

// lapse ends the leases that are due, oldest first.
func (s *store) lapse(now time.Time) {
	var due []uint64
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			due = append(due, id)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	for _, id := range due {
		s.end(id)
	}
}

// list returns the keys below the prefix, sorted.
func (s *store) list(prefix string) []string {
	var ks []string
	for k, e := range s.entries {
		if !e.gone && strings.HasPrefix(k, prefix) {
			ks = append(ks, k)
		}
	}
	sort.Strings(ks)
	return ks
}

// nextLapse returns when the next lease lapses, the zero time if none does.
func (s *store) nextLapse() time.Time {
	var next time.Time
	for _, l := range s.leases {
		if next.IsZero() || l.expires.Before(next) {
			next = l.expires
		}
	}
	return next
}

func (s *store) put(key string, value []byte, prev, leaseID uint64) (uint64, error) {
	if key == "" {
		return 0, &badCallError{detail: "key is empty"}
	}
	e := s.get(key)
	if e.revision != prev {
		return 0, &conflictError{key: key, have: e.revision}
	}
	l := s.leases[leaseID]
	if leaseID != 0 && l == nil {
		return 0, &lapsedError{lease: leaseID}
	}
	s.detach(key, e)
	if l != nil {
		l.keys[key] = true
	}
	// A live value is never nil: watches show deleted entries so.
	s.note(key, entry{value: append([]byte{}, value...), lease: leaseID})
	return s.revision, nil
}

func (s *store) renew(now time.Time, id uint64) error {
	l := s.leases[id]
	if l == nil {
		return &lapsedError{lease: id}
	}
	l.expires = now.Add(l.ttl)
	return nil
}

func (s *store) revoke(id uint64) error {
	if s.leases[id] == nil {
		return &lapsedError{lease: id}
	}
	s.end(id)
	return nil
}

// since returns the keys below the prefix that changed after the revision,
// each once, in the order of their last change.
func (s *store) since(prefix string, after uint64) []string {
	i := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].revision > after })
	var ks []string
	for _, c := range s.changes[i:] {
		if strings.HasPrefix(c.key, prefix) && s.entries[c.key].revision == c.revision {
			ks = append(ks, c.key)
		}
	}
	return ks
}

// compact drops changes that a later one of the same key replaced.
func (s *store) compact() {
	if len(s.changes) < 2*len(s.entries)+compactFloor {
		return
	}
	kept := s.changes[:0]
	for _, c := range s.changes {
		if s.entries[c.key].revision == c.revision {
			kept = append(kept, c)
		}
	}
	s.changes = kept
}

// compactFloor is the number of changes that are always kept.
const compactFloor = 1024

func (s *store) detach(key string, e entry) {
	if l := s.leases[e.lease]; l != nil {
		delete(l.keys, key)
	}
}

// end deletes a lease and the keys under it.
func (s *store) end(id uint64) {
	l := s.leases[id]
	ks := make([]string, 0, len(l.keys))
	for k := range l.keys {
		ks = append(ks, k)
	}
	sort.Strings(ks)
	for _, k := range ks {
		s.remove(k)
	}
	delete(s.leases, id)
}

func (s *store) note(key string, e entry) {
	s.revision++
	e.revision = s.revision
	s.entries[key] = e
	s.changes = append(s.changes, change{revision: s.revision, key: key})
	s.compact()
}

func (s *store) remove(key string) {
	s.detach(key, s.entries[key])
	s.note(key, entry{gone: true})
}
