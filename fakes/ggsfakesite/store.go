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

// A Store is a test double of the platform's metadata store, a key-value store with
// revisions, watches and conditional transactions.
type Store struct {
	mu sync.Mutex
	// epoch starts at one and increases each time that the store is restored from a backup.
	epoch       uint64
	revision    uint64
	items       map[string]item
	history     []item
	changed     chan struct{}
	unavailable bool
	// loseAnswers is the number of further writes that are applied without an answer.
	loseAnswers int
	calls       map[string]int
	// listCalls counts the list calls by prefix.
	listCalls map[string]int
	// listDelays are the delays of answers to list calls by prefix.
	listDelays map[string]time.Duration
	// conditions are the keys in the conditions of the last transaction.
	conditions []string
	// holdWrites is the number of further writes to hold, heldWrites the writes held so far.
	holdWrites int
	heldWrites []transaction
}

// A Backup is a copy of a store's state.
type Backup struct {
	revision uint64
	items    map[string]item
	history  []item
}

// epochHeader is the header with the store's epoch in every answer.
const epochHeader = "Store-Era"

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"createRev,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
	// encoded is the item as JSON. Items are encoded once, since large ones are read often.
	encoded []byte
}

func (i item) encode() item {
	b, err := json.Marshal(i)
	if err != nil {
		panic(err) // unreachable: every field of an item can be encoded
	}
	i.encoded = b
	return i
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		epoch: 1, revision: 1, items: map[string]item{}, changed: make(chan struct{}), calls: map[string]int{}, listCalls: map[string]int{},
		listDelays: map[string]time.Duration{},
	}
}

// Backup returns a backup of the store.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// WithoutPrefix returns the backup without the keys below a prefix.
func (b Backup) WithoutPrefix(prefix string) Backup {
	b.items = maps.Clone(b.items)
	maps.DeleteFunc(b.items, func(k string, _ item) bool { return strings.HasPrefix(k, prefix) })
	return b
}

// Restore restores the store from a backup and increases the store's epoch. Writes after the
// backup are lost, and the revisions of the lost writes are assigned again to new writes.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.revision, s.items, s.history = b.revision, maps.Clone(b.items), slices.Clone(b.history)
	s.notifyWatches()
}

// Epoch returns the epoch that the store sends in its answers.
func (s *Store) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// HoldWrites holds the next n writes. Their connections are closed without an answer, and
// ApplyHeld applies them.
func (s *Store) HoldWrites(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdWrites = n
}

// ApplyHeld applies the held writes whose conditions are met and returns their number.
func (s *Store) ApplyHeld() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := 0
	for _, t := range s.heldWrites {
		if _, ok := s.apply(t); ok {
			done++
		}
	}
	s.heldWrites = nil
	return done
}

// Put writes a value without a condition, like a write of an operator or an endpoint.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value)
	s.notifyWatches()
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notifyWatches()
}

// Get returns the value of a key, or nil if the key doesn't exist.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// AdvanceRevision increases the revision by n, as writes of other clients do.
func (s *Store) AdvanceRevision(n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision += n
}

// Written returns the number of keys below a prefix with a revision greater than after.
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

// SetUnavailable sets whether the store is unavailable and answers every call with status 503.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	s.notifyWatches()
}

// LoseAnswers applies the next n writes and closes their connections without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// Compact drops the history, so that watches from an older revision fail with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.notifyWatches()
}

// Calls returns the number of calls to a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// ListCalls returns the number of list calls with a prefix.
func (s *Store) ListCalls(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listCalls[prefix]
}

// DelayLists delays the answers to list calls with a prefix.
func (s *Store) DelayLists(prefix string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listDelays[prefix] = d
}

// LastConditions returns the keys in the conditions of the last transaction.
func (s *Store) LastConditions() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.conditions)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	unavailable := s.unavailable
	w.Header().Set(epochHeader, strconv.FormatUint(s.epoch, 10))
	s.mu.Unlock()
	if unavailable {
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
	s.listCalls[prefix]++
	delay := s.listDelays[prefix]
	l, rev := []item{}, s.revision
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) {
			l = append(l, i)
		}
	}
	// Unlocks before the answer is written, so that a slow reader doesn't block other calls.
	s.mu.Unlock()
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
		return
	}
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
		unavailable, changed, rev := s.unavailable, s.changed, s.revision
		w.Header().Set(epochHeader, strconv.FormatUint(s.epoch, 10))
		compacted := after > rev || after < rev && (len(s.history) == 0 || s.history[0].Revision > after+1)
		l := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("pathPrefix")) {
				l = append(l, i)
			}
		}
		s.mu.Unlock()
		switch {
		case unavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case compacted:
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

// A transaction is a set of writes that is applied only if all conditions are met.
type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected"`
	SetKeys []keyValue `json:"setKeys"`
	Remove  []string   `json:"remove"`
}

type keyValue struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// maxKeyBytes bounds the keys that are written.
const maxKeyBytes = 200

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if slices.ContainsFunc(t.SetKeys, func(k keyValue) bool { return len(k.Key) > maxKeyBytes }) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conditions = nil
	for _, e := range t.Expected {
		s.conditions = append(s.conditions, e.Key)
	}
	if s.holdWrites > 0 {
		s.holdWrites--
		s.heldWrites = append(s.heldWrites, t)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(epochHeader, strconv.FormatUint(s.epoch, 10))
	if i, ok := s.apply(t); !ok {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{i}})
		return
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// apply applies a transaction, or returns the item whose condition isn't met and false. The
// lock is held.
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
	s.notifyWatches()
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

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answerItems writes a JSON answer: the given head, the items and the store's revision.
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
	// The write fails only if the caller has disconnected.
	_, _ = w.Write(b)
}
