package ggsfakeplatform

import (
	"sort"
	"strings"
	"time"
)

// An entry is a value or, if deleted is set, the tombstone of a deleted key.
type entry struct {
	value    []byte
	revision uint64
	lease    uint64
	deleted  bool
}

// A lease is a granted lease with the keys attached to it.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// A change records a write or a deletion of a key.
type change struct {
	revision uint64
	key      string
}

// A store is the state of the key-value service. It has no lock and no clock: callers lock
// and pass the time.
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
		return 0, &conflictError{key: key, revision: e.revision}
	}
	s.remove(key)
	return s.revision, nil
}

// get returns the entry of a key, or the zero entry if the key doesn't exist.
func (s *store) get(key string) entry {
	e := s.entries[key]
	if e.deleted {
		return entry{}
	}
	return e
}

func (s *store) grant(now time.Time, ttl time.Duration) (uint64, error) {
	if ttl <= 0 {
		return 0, &badCallError{detail: "lease ttl must be positive"}
	}
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: now.Add(ttl), keys: map[string]bool{}}
	return s.lastLease, nil
}

// expireLeases ends the expired leases in the order of their IDs.
func (s *store) expireLeases(now time.Time) {
	var due []uint64
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			due = append(due, id)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	for _, id := range due {
		s.endLease(id)
	}
}

// list returns the existing keys with the prefix in sorted order.
func (s *store) list(prefix string) []string {
	var ks []string
	for k, e := range s.entries {
		if !e.deleted && strings.HasPrefix(k, prefix) {
			ks = append(ks, k)
		}
	}
	sort.Strings(ks)
	return ks
}

// nextExpiry returns the earliest expiry of a lease, or the zero time without leases.
func (s *store) nextExpiry() time.Time {
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
		return 0, &badCallError{detail: "key must not be empty"}
	}
	e := s.get(key)
	if e.revision != prev {
		return 0, &conflictError{key: key, revision: e.revision}
	}
	l := s.leases[leaseID]
	if leaseID != 0 && l == nil {
		return 0, &leaseExpiredError{lease: leaseID}
	}
	s.detach(key, e)
	if l != nil {
		l.keys[key] = true
	}
	// An existing value is never nil, since watches return nil for deleted keys.
	s.record(key, entry{value: append([]byte{}, value...), lease: leaseID})
	return s.revision, nil
}

func (s *store) renew(now time.Time, id uint64) error {
	l := s.leases[id]
	if l == nil {
		return &leaseExpiredError{lease: id}
	}
	l.expires = now.Add(l.ttl)
	return nil
}

func (s *store) revoke(id uint64) error {
	if s.leases[id] == nil {
		return &leaseExpiredError{lease: id}
	}
	s.endLease(id)
	return nil
}

// changedSince returns the keys with the prefix that changed after the revision. Each key
// appears once, in the order of the last changes.
func (s *store) changedSince(prefix string, after uint64) []string {
	i := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].revision > after })
	var ks []string
	for _, c := range s.changes[i:] {
		if strings.HasPrefix(c.key, prefix) && s.entries[c.key].revision == c.revision {
			ks = append(ks, c.key)
		}
	}
	return ks
}

// compact drops each change that a later change of the same key supersedes.
func (s *store) compact() {
	if len(s.changes) < 2*len(s.entries)+minChanges {
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

// minChanges is the number of changes below which nothing is compacted.
const minChanges = 1024

func (s *store) detach(key string, e entry) {
	if l := s.leases[e.lease]; l != nil {
		delete(l.keys, key)
	}
}

// endLease deletes a lease and the keys attached to it.
func (s *store) endLease(id uint64) {
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

func (s *store) record(key string, e entry) {
	s.revision++
	e.revision = s.revision
	s.entries[key] = e
	s.changes = append(s.changes, change{revision: s.revision, key: key})
	s.compact()
}

func (s *store) remove(key string) {
	s.detach(key, s.entries[key])
	s.record(key, entry{deleted: true})
}
