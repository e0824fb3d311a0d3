package ggsconfig_test

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	ggscore "greengageslip/core"
)

// causeError is the cause of an injected fault.
type causeError struct{}

func (*causeError) Error() string { return "injected fault" }

// A faultyStore is an in-memory platform service with fault injection. Write faults
// apply to writes of the head only.
type faultyStore struct {
	mu       sync.Mutex
	revision ggscore.StoreRevision
	entries  map[ggscore.Key]ggscore.Entry
	changed  chan struct{}
	delayed  []func()
	// heads holds every head ever written, in order.
	heads [][]byte

	unavailable bool
	// loseAnswers, delayWrites and failWrites are the numbers of next writes that get
	// the fault.
	loseAnswers int
	delayWrites int
	failWrites  int
	// delayDeletes delays deletions until releaseDelayed.
	delayDeletes bool
	// beforePut runs before the next write of the head, without the lock.
	beforePut func()
}

func newFaultyStore() *faultyStore {
	return &faultyStore{entries: map[ggscore.Key]ggscore.Entry{}, changed: make(chan struct{})}
}

func (s *faultyStore) Delete(_ context.Context, k ggscore.Key, prev ggscore.StoreRevision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayDeletes {
		s.delayed = append(s.delayed, func() { _ = s.remove(k, prev) })
		return &ggscore.AmbiguousWriteError{Key: k, Cause: &causeError{}}
	}
	return s.remove(k, prev)
}

func (s *faultyStore) Get(_ context.Context, k ggscore.Key) (ggscore.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return ggscore.Entry{}, &ggscore.StoreUnavailableError{Cause: &causeError{}}
	}
	e := s.entries[k]
	e.Key = k
	return e, nil
}

func (s *faultyStore) List(_ context.Context, prefix ggscore.Key) ([]ggscore.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []ggscore.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(string(k), string(prefix)) {
			l = append(l, e)
		}
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Key < l[j].Key })
	return l, nil
}

func (s *faultyStore) Put(
	_ context.Context, k ggscore.Key, v []byte, prev ggscore.StoreRevision, _ ggscore.LeaseID,
) (ggscore.StoreRevision, error) {
	isHead := k == "config/head"
	if before := s.takeBeforePut(isHead); before != nil {
		before()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return 0, &ggscore.StoreUnavailableError{Cause: &causeError{}}
	}
	if isHead && s.failWrites > 0 {
		s.failWrites--
		return 0, &ggscore.StoreBusyError{}
	}
	if isHead && s.delayWrites > 0 {
		s.delayWrites--
		s.delayed = append(s.delayed, func() { _, _ = s.put(k, v, prev) })
		return 0, &ggscore.AmbiguousWriteError{Key: k, Cause: &causeError{}}
	}
	r, err := s.put(k, v, prev)
	if isHead && s.loseAnswers > 0 {
		s.loseAnswers--
		return 0, &ggscore.AmbiguousWriteError{Key: k, Cause: &causeError{}}
	}
	return r, err
}

func (s *faultyStore) Watch(
	ctx context.Context, prefix ggscore.Key, after ggscore.StoreRevision, d time.Duration,
) ([]ggscore.Entry, ggscore.StoreRevision, error) {
	t := time.NewTimer(d)
	defer t.Stop()
	for over := false; ; {
		s.mu.Lock()
		var l []ggscore.Entry
		for k, e := range s.entries {
			if strings.HasPrefix(string(k), string(prefix)) && e.Revision > after {
				l = append(l, e)
			}
		}
		r, changed, unavailable := s.revision, s.changed, s.unavailable
		s.mu.Unlock()
		if unavailable {
			return nil, 0, &ggscore.StoreUnavailableError{Cause: &causeError{}}
		}
		if over || len(l) > 0 {
			return l, r, nil
		}
		select {
		case <-changed:
		case <-t.C:
			over = true
		case <-ctx.Done():
			return nil, 0, &ggscore.StoreUnavailableError{Cause: ctx.Err()}
		}
	}
}

// snapshot returns a copy of the entries, for a later restore.
func (s *faultyStore) snapshot() map[ggscore.Key]ggscore.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := map[ggscore.Key]ggscore.Entry{}
	for k, e := range s.entries {
		m[k] = e
	}
	return m
}

// releaseDelayed applies the delayed writes and deletions.
func (s *faultyStore) releaseDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.delayed {
		f()
	}
	s.delayed = nil
}

// put writes an entry by compare-and-swap. The caller holds s.mu.
func (s *faultyStore) put(k ggscore.Key, v []byte, prev ggscore.StoreRevision) (ggscore.StoreRevision, error) {
	if have := s.entries[k].Revision; have != prev {
		return 0, &ggscore.ConflictError{Key: k, Want: prev, Have: have}
	}
	s.revision++
	s.entries[k] = ggscore.Entry{Key: k, Value: append([]byte{}, v...), Revision: s.revision}
	if k == "config/head" {
		s.heads = append(s.heads, v)
	}
	s.notifyWatchers()
	return s.revision, nil
}

// remove deletes an entry by compare-and-swap. The caller holds s.mu.
func (s *faultyStore) remove(k ggscore.Key, prev ggscore.StoreRevision) error {
	if have := s.entries[k].Revision; have != prev || prev == 0 {
		return &ggscore.ConflictError{Key: k, Want: prev, Have: have}
	}
	s.revision++
	delete(s.entries, k)
	return nil
}

// restore replaces the entries by an older copy.
func (s *faultyStore) restore(m map[ggscore.Key]ggscore.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = m
	s.revision++
	if h, found := m["config/head"]; found {
		h.Revision = s.revision
		m["config/head"] = h
	}
	s.notifyWatchers()
}

func (s *faultyStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	s.notifyWatchers()
}

// takeBeforePut returns and clears beforePut if the write is one of the head.
func (s *faultyStore) takeBeforePut(head bool) func() {
	if !head {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.beforePut
	s.beforePut = nil
	return f
}

// notifyWatchers ends the waits of all watches. The caller holds s.mu.
func (s *faultyStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// servicesText is the services section of a small valid document, and marketText returns a market's
// section that offers the adapter version given and its use by the services given.

const servicesText = `[[services]]
name = "asistente"
baseModel = "base-8b"
slots = 8
adapterSlots = 4
`

func marketText(version string, services ...string) []byte {
	t := "[[adapters]]\nname = \"deposits\"\nbaseModel = \"base-8b\"\nversions = [\"v1\", \"" + version + "\"]\ncurrent = \"" + version + "\"\n"
	for _, s := range services {
		t += fmt.Sprintf("\n[[uses]]\nservice = %q\npriority = \"normal\"\ndeadline = \"2s\"\n", s)
	}
	return []byte(t)
}
