package ggscrash

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsquarantine"
	"greengageslip/io/ggslog"
)

// A record is the record in the store of a part of prompts, or of a request, that crashes endpoints.
type record struct {
	Part    string `json:"part,omitempty"`
	Request string `json:"request,omitempty"`
	// Doubtful is set if a half-open try may end the quarantine, Tries counts those that have begun, and Released is set once one
	// has been answered.
	Doubtful bool `json:"doubtful,omitempty"`
	Tries    int  `json:"tries,omitempty"`
	Released bool `json:"released,omitempty"`
}

func recordOf(r ggsquarantine.Record) *record {
	w := &record{Doubtful: r.Doubtful, Tries: r.Tries, Released: r.Released}
	if f, ok := r.Suspect.Request(); ok {
		w.Request = string(f)
	} else {
		w.Part = string(r.Suspect)
	}
	return w
}

// A StoredRecord is a record of a suspect, and its revision in the store.
type StoredRecord struct {
	ggsquarantine.Record
	Revision ggscore.StoreRevision
}

// DecodeRecord decodes the entry of a suspect.
func DecodeRecord(e ggscore.Entry) (StoredRecord, error) {
	var w record
	if err := json.Unmarshal(e.Value, &w); err != nil {
		return StoredRecord{}, errors.Wrap(err, "decoding the record of a suspect")
	}
	r := ggsquarantine.Record{Suspect: ggscore.SuspectPart(ggscore.PromptPart(w.Part)), Doubtful: w.Doubtful, Tries: max(w.Tries, 0), Released: w.Released}
	if w.Request != "" {
		r.Suspect = ggscore.SuspectRequest(ggscore.Fingerprint(w.Request))
	}
	return StoredRecord{Record: r, Revision: e.Revision}, nil
}

// key returns the key of a suspect's record. Callers choose the IDs of parts.
func (t *Tracker) key(id ggscore.SuspectID) ggscore.Key {
	return ggscore.KeyOf(string(t.options.Prefix), hex.EncodeToString([]byte(id)))
}

// Records returns the records of the suspects that are in quarantine at this VM.
func (t *Tracker) Records() []ggscore.Entry {
	var es []ggscore.Entry
	for id := range t.Quarantined() {
		t.mu.Lock()
		r := t.table.RecordOf(id)
		t.mu.Unlock()
		v, err := json.Marshal(recordOf(r))
		if err != nil {
			_ = level.Error(t.options.Log).Log("event", ggslog.EventRecordUnencoded, "err", err)
			continue
		}
		es = append(es, ggscore.Entry{Key: t.key(id), Value: v})
	}
	return es
}

// Adopt puts suspects into quarantine that another VM has in quarantine.
func (t *Tracker) Adopt(rs []StoredRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	for _, r := range rs {
		if !r.Released {
			t.table.Adopt(now, r.Record)
		}
	}
}

// ObserveRecords replaces the records in the store.
func (t *Tracker) ObserveRecords(rs []StoredRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	clear(t.revisions)
	records := make([]ggsquarantine.Record, 0, len(rs))
	for _, r := range rs {
		t.revisions[r.Suspect] = r.Revision
		records = append(records, r.Record)
	}
	if t.table.ObserveRecords(now, records) > 0 {
		notify(t.crashed)
	}
	if len(t.table.Unrecorded(now)) > 0 || len(t.table.Changed()) > 0 || len(t.table.Expired(now)) > 0 {
		t.wake()
	}
}

// writeDue writes and deletes the records that are due, and reports success.
func (t *Tracker) writeDue(ctx context.Context) bool {
	t.mu.Lock()
	now := t.options.Now()
	add, change, remove := t.table.Unrecorded(now), t.table.Changed(), t.table.Expired(now)
	t.mu.Unlock()
	for _, id := range add {
		// A peer may have written the record before.
		err := t.writeRecord(ctx, id, []ggscore.TxnCondition{{Key: t.key(id)}})
		t.logRecord(ggslog.EventRequestQuarantined, ggslog.EventPartQuarantined, id, err)
		if err != nil {
			return false
		}
	}
	for _, id := range change {
		t.mu.Lock()
		revision := t.revisions[id]
		t.mu.Unlock()
		if revision != 0 && t.writeRecord(ctx, id, []ggscore.TxnCondition{{Key: t.key(id), Revision: revision}}) != nil {
			return false
		}
	}
	for _, id := range remove {
		_, err := t.options.Store.Txn(ctx, ggscore.Txn{Epoch: t.options.Epoch(), Deletes: []ggscore.Key{t.key(id)}})
		t.logRecord(ggslog.EventRequestReleased, ggslog.EventPartReleased, id, err)
		if err != nil {
			return false
		}
	}
	return true
}

// writeRecord writes a suspect's record under a condition. A record that a peer has written meanwhile stays: what this VM has to
// say of it is written again once it has been read.
func (t *Tracker) writeRecord(ctx context.Context, id ggscore.SuspectID, conditions []ggscore.TxnCondition) error {
	t.mu.Lock()
	r := t.table.RecordOf(id)
	t.mu.Unlock()
	v, err := json.Marshal(recordOf(r))
	if err != nil {
		_ = level.Error(t.options.Log).Log("event", ggslog.EventRecordUnencoded, "err", err)
		return nil
	}
	at, err := t.options.Store.Txn(ctx, ggscore.Txn{
		Epoch: t.options.Epoch(), Conditions: conditions, Writes: []ggscore.TxnWrite{{Key: t.key(id), Value: v}},
	})
	var conflict *ggscore.TxnConflictError
	if err != nil && !errors.As(err, &conflict) {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Recorded(id)
	if err != nil {
		return nil //nolint:nilerr // a peer was first
	}
	t.revisions[id] = at.Revision
	if t.table.RecordOf(id) == r {
		t.table.Written(id)
	}
	return nil
}

// claimTimeout bounds the wait of a request for the claim of its half-open try.
const claimTimeout = 300 * time.Millisecond

// Claim reports whether a request in quarantine may be sent as its half-open try. The record in the store counts the tries, so that
// one VM at a time makes one.
func (t *Tracker) Claim(ctx context.Context, id ggscore.SuspectID) bool {
	t.mu.Lock()
	revision, due, r := t.revisions[id], t.table.HalfOpen(t.options.Now(), id), t.table.RecordOf(id)
	t.mu.Unlock()
	if revision == 0 || !due {
		return false
	}
	r.Tries++
	v, err := json.Marshal(recordOf(r))
	if err != nil {
		_ = level.Error(t.options.Log).Log("event", ggslog.EventRecordUnencoded, "err", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	at, err := t.options.Store.Txn(ctx, ggscore.Txn{
		Epoch: t.options.Epoch(), Conditions: []ggscore.TxnCondition{{Key: t.key(id), Revision: revision}},
		Writes: []ggscore.TxnWrite{{Key: t.key(id), Value: v}},
	})
	_ = level.Info(t.options.Log).Log("event", ggslog.EventHalfOpenTry, "fingerprint", r.Suspect, "try", r.Tries, "err", err)
	if err != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revisions[id] = at.Revision
	t.table.RecordTry(t.options.Now(), id)
	return true
}

// Release ends the quarantine of a request whose half-open try was answered.
func (t *Tracker) Release(id ggscore.SuspectID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Release(t.options.Now(), id)
	t.wake()
	notify(t.crashed)
}

// logRecord logs the event for a request or that for a part.
func (t *Tracker) logRecord(request, part ggslog.Event, id ggscore.SuspectID, err error) {
	if f, ok := id.Request(); ok {
		_ = level.Warn(t.options.Log).Log("event", request, "fingerprint", f, "err", err)
		return
	}
	_ = level.Warn(t.options.Log).Log("event", part, "part", id, "err", err)
}
