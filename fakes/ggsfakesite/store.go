package ggsfakesite

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A Store is the platform's metadata store.
type Store struct {
	mu sync.Mutex
	// era counts the times that the store came back from a copy, from one on.
	era      uint64
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	away     bool
	// lose is the number of writes that are done and not answered.
	lose  int
	calls map[string]int
	// snapshots counts the readings of all items below a prefix.
	snapshots map[string]int
	// conditions are the keys of the last transaction's conditions.
	conditions []string
	// hold is the number of writes that are to be held back, held those that are.
	hold int
	held []transaction
}

// A Copy is a store's state at a moment.
type Copy struct {
	revision uint64
	items    map[string]item
	history  []item
}

// eraHeader names the store's era in all its answers.
const eraHeader = "Store-Era"

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"createRev,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
	// encoded is the item as JSON. It is encoded once: large ones are answered often.
	encoded []byte
}

func (i item) encode() item {
	b, err := json.Marshal(i)
	if err != nil {
		panic(err) // no field of an item can fail
	}
	i.encoded = b
	return i
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		era: 1, revision: 1, items: map[string]item{}, changed: make(chan struct{}), calls: map[string]int{}, snapshots: map[string]int{},
	}
}

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// Without returns a copy from before any key below a prefix was written.
func (c Copy) Without(prefix string) Copy {
	c.items = maps.Clone(c.items)
	maps.DeleteFunc(c.items, func(k string, _ item) bool { return strings.HasPrefix(k, prefix) })
	return c
}

// Return has the store come back from a copy: what was written since is lost, and its
// revisions are given out again.
func (s *Store) Return(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items, s.history = c.revision, maps.Clone(c.items), slices.Clone(c.history)
	s.wake()
}

// Era returns the number that the store names in its answers.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// HoldWrites has the next writes not answered, and carried out by CarryOutHeld.
func (s *Store) HoldWrites(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = n
}

// CarryOutHeld carries out the writes that were held back, where their conditions hold, and
// returns how many did.
func (s *Store) CarryOutHeld() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := 0
	for _, t := range s.held {
		if _, ok := s.apply(t); ok {
			done++
		}
	}
	s.held = nil
	return done
}

// Put writes a value as an operator or an endpoint does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value)
	s.wake()
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

// Get returns a value, nil for none.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Advance has so many revisions pass, as by the writes of others.
func (s *Store) Advance(n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision += n
}

// Written returns the number of keys below a prefix that were written after a revision.
func (s *Store) Written(prefix string, after uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && i.Revision > after {
			n++
		}
	}
	return n
}

// Revision returns the revision of the last write.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// SetAway sets whether all calls are answered 503.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// LoseAnswers has the next writes done and not answered.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.wake()
}

// Calls returns the number of calls by path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Snapshots returns the number of readings of all items below a prefix.
func (s *Store) Snapshots(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshots[prefix]
}

// Conditions returns the keys of the last transaction's conditions.
func (s *Store) Conditions() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.conditions)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	away := s.away
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /greengageslip/kv-range":
		s.list(w, r)
	case "GET /greengageslip/kv-watch":
		s.watch(w, r)
	case "POST /greengageslip/kv-txn":
		s.txn(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("pathPrefix")
	s.mu.Lock()
	s.snapshots[prefix]++
	l, rev := []item{}, s.revision
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) {
			l = append(l, i)
		}
	}
	// A reader behind a slow link must not hold up the others.
	s.mu.Unlock()
	slices.SortFunc(l, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	answerItems(w, `{"morePages":false,"items":`, l, rev)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	for {
		s.mu.Lock()
		away, changed, rev := s.away, s.changed, s.revision
		w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
		gone := after > rev || after < rev && (len(s.history) == 0 || s.history[0].Revision > after+1)
		l := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("pathPrefix")) {
				l = append(l, i)
			}
		}
		s.mu.Unlock()
		switch {
		case away:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(l) > 0:
			answerItems(w, `{"events":`, l, rev)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-t.C:
			answerItems(w, `{"events":`, l, rev)
			return
		}
	}
}

// A transaction is a set of writes under conditions.
type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected"`
	SetKeys []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"setKeys"`
	Remove []string `json:"remove"`
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conditions = nil
	for _, e := range t.Expected {
		s.conditions = append(s.conditions, e.Key)
	}
	if s.hold > 0 {
		s.hold--
		s.held = append(s.held, t)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
	if i, ok := s.apply(t); !ok {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{i}})
		return
	}
	if s.lose > 0 {
		s.lose--
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// apply carries out a transaction, or returns the item whose condition doesn't hold. Store.mu
// is held.
func (s *Store) apply(t transaction) (item, bool) {
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return s.items[e.Key], false
		}
	}
	s.revision++
	for _, k := range t.SetKeys {
		s.set(k.Key, k.Value)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.wake()
	return item{}, true
}

func (s *Store) set(key string, value []byte) {
	i := item{Key: key, Value: value, Revision: s.revision, CreateRev: s.items[key].CreateRev}
	if i.CreateRev == 0 {
		i.CreateRev = s.revision
	}
	i = i.encode()
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *Store) remove(key string) {
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true}.encode())
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answerItems answers with a head, items and the store's revision.
func answerItems(w http.ResponseWriter, head string, l []item, rev uint64) {
	b := []byte(head + "[")
	for n, i := range l {
		if n > 0 {
			b = append(b, ',')
		}
		b = append(b, i.encoded...)
	}
	b = append(b, fmt.Sprintf(`],"asOf":%d}`, rev)...)
	answerBytes(w, http.StatusOK, b)
}

func answer(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	answerBytes(w, status, b)
}

func answerBytes(w http.ResponseWriter, status int, b []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	// A caller that has gone away gets nothing.
	_, _ = w.Write(b)
}
