package ggsorigins

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggsrecord"
)

const (
	// journalDelay is the time after a stream's request was sent until it is stored, in which others follow.
	// Endpoints take longer to the first event.
	journalDelay = 20 * time.Millisecond
	// journalInterval bounds how often a VM writes its journal.
	journalInterval = 100 * time.Millisecond
	// maxJournal bounds the streams in a journal. The oldest are left out.
	maxJournal = 4096
	// maxJournalAge is the age from which a journal is deleted. Its VM has ended or begins no streams.
	maxJournalAge = 10 * time.Minute
	// journalReadInterval bounds how often a VM reads the journals.
	journalReadInterval = 500 * time.Millisecond
	// journalReadTimeout bounds the wait of a resumed stream for the journals.
	journalReadTimeout = time.Second
)

// A journalRecord lists streams that a VM sent to endpoints, as JSON. All VMs may be lost with what they know.
type journalRecord struct {
	// Written is the Unix time in seconds.
	Written int64          `json:"written"`
	Origins []originRecord `json:"origins"`
	Streams []streamRecord `json:"streams"`
}

// An originRecord is a service and a version of its software.
type originRecord struct {
	Service  string `json:"service"`
	Software string `json:"software"`
}

// A streamRecord is a stream's request, and the index of its origin.
type streamRecord struct {
	Request string `json:"request"`
	Origin  int    `json:"origin"`
}

func journalRecordOf(written time.Time, os []ggscore.StreamOrigin) *journalRecord {
	w := &journalRecord{Written: written.Unix()}
	index := map[originRecord]int{}
	for _, o := range os {
		k := originRecord{Service: string(o.Service), Software: string(o.Software)}
		i, ok := index[k]
		if !ok {
			i = len(w.Origins)
			index[k] = i
			w.Origins = append(w.Origins, k)
		}
		w.Streams = append(w.Streams, streamRecord{Request: string(o.Request), Origin: i})
	}
	return w
}

// origins returns the streams' origins. A stream whose origin is missing is left out.
func (w *journalRecord) origins() []ggscore.StreamOrigin {
	os := make([]ggscore.StreamOrigin, 0, len(w.Streams))
	for _, s := range w.Streams {
		if s.Origin < 0 || s.Origin >= len(w.Origins) {
			continue
		}
		o := w.Origins[s.Origin]
		os = append(os, ggscore.StreamOrigin{
			Request: ggscore.RequestID(s.Request), Service: ggscore.Service(o.Service), Software: ggscore.SoftwareVersion(o.Software),
		})
	}
	return os
}

// A journaled is a stream of the journal.
type journaled struct {
	origin ggscore.StreamOrigin
	at     time.Time
}

// A journalWriter writes a VM's journal. It belongs to one goroutine.
type journalWriter struct {
	key ggscore.Key
	// at is the journal's position, if it is known.
	at    ggscore.StorePosition
	known bool
	// inherited are the streams of the VM's previous process.
	inherited []journaled
}

// maintainJournal stores the streams that this VM begins while their service has several versions.
func (t *Tracker) maintainJournal(ctx context.Context) error {
	w := &journalWriter{key: ggscore.KeyOf(string(t.options.Journals), string(t.options.VM))}
	for {
		select {
		case <-t.journalNotified:
		case <-ctx.Done():
			return nil
		}
		if !pause(ctx, journalDelay) {
			return nil
		}
		for failures := 1; !t.storeJournal(ctx, w); failures++ {
			if !pause(ctx, t.options.RetryPause(failures)) {
				return nil
			}
		}
		if !pause(ctx, journalInterval-journalDelay) {
			return nil
		}
	}
}

// storeJournal writes the journal, and reports success.
func (t *Tracker) storeJournal(ctx context.Context, w *journalWriter) bool {
	if err := t.writeJournal(ctx, w); err != nil {
		// The write may have been executed all the same.
		w.known = false
		_ = level.Info(t.options.Log).Log("event", ggslog.EventOriginsUnstored, "err", err)
		return false
	}
	return true
}

func (t *Tracker) writeJournal(ctx context.Context, w *journalWriter) error {
	if !w.known {
		if err := t.readOwnJournal(ctx, w); err != nil {
			return err
		}
	}
	v, err := json.Marshal(journalRecordOf(t.options.TimeOfDay(), t.journalOf(w)))
	if err != nil {
		return errors.Wrap(err, "encoding the journal of streams")
	}
	at, err := ggsrecord.Write(ctx, t.options.Store, w.key, v, w.at)
	if err != nil {
		return err
	}
	w.at = at
	return nil
}

// journalOf returns the streams to store, the newest last.
func (t *Tracker) journalOf(w *journalWriter) []ggscore.StreamOrigin {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	w.inherited = t.recentStreams(now, w.inherited)
	t.journal = t.recentStreams(now, t.journal)
	os := make([]ggscore.StreamOrigin, 0, len(w.inherited)+len(t.journal))
	for _, j := range w.inherited {
		os = append(os, j.origin)
	}
	for _, j := range t.journal {
		os = append(os, j.origin)
	}
	return os[max(len(os)-maxJournal, 0):]
}

// recentStreams returns the streams that may still be resumed. Tracker.mu is held.
func (t *Tracker) recentStreams(now time.Time, js []journaled) []journaled {
	n := 0
	for n < len(js) && now.Sub(js[n].at) > t.resumePeriod(js[n].origin.Service) {
		n++
	}
	return js[n:]
}

// readOwnJournal finds the journal's position, and takes over what a previous process has written.
func (t *Tracker) readOwnJournal(ctx context.Context, w *journalWriter) error {
	v, at, err := ggsrecord.Read(ctx, t.options.Store, w.key)
	if err != nil {
		return err
	}
	w.at, w.known = at, true
	if w.inherited != nil {
		return nil
	}
	w.inherited = []journaled{}
	if at.Revision == 0 {
		return nil
	}
	if r, ok := t.decodeJournal(ggscore.Entry{Key: w.key, Value: v, Revision: at.Revision}); ok {
		for _, o := range r.origins() {
			w.inherited = append(w.inherited, journaled{origin: o, at: t.options.Now()})
		}
	}
	return nil
}

// decodeJournal decodes a journal. ok is false if it is unreadable or old.
func (t *Tracker) decodeJournal(n ggscore.Entry) (w *journalRecord, ok bool) {
	w = &journalRecord{}
	if err := json.Unmarshal(n.Value, w); err != nil {
		_ = level.Warn(t.options.Log).Log("event", ggslog.EventRecordUnreadable, "key", n.Key, "revision", n.Revision, "err", err)
		return nil, false
	}
	return w, t.options.TimeOfDay().Sub(time.Unix(w.Written, 0)) <= maxJournalAge
}

// readJournals reads the streams that VMs have stored, and deletes old journals.
func (t *Tracker) readJournals(ctx context.Context) error {
	es, at, err := t.options.Store.Snapshot(ctx, t.options.Journals+"/", false)
	streams := 0
	old := ggscore.Txn{Epoch: at.Epoch}
	for _, n := range es {
		w, ok := t.decodeJournal(n)
		if !ok && len(old.Deletes) < maxDeletes {
			old.Conditions = append(old.Conditions, ggscore.TxnCondition{Key: n.Key, Revision: n.Revision})
			old.Deletes = append(old.Deletes, n.Key)
		}
		if !ok {
			continue
		}
		os := w.origins()
		streams += len(os)
		t.Observe(os)
	}
	_ = level.Info(t.options.Log).Log("event", ggslog.EventOriginsRead, "journals", len(es), "streams", streams, "old", len(old.Deletes), "err", err)
	if err == nil && len(old.Deletes) > 0 {
		_, err := t.options.Store.Txn(ctx, old)
		var conflict *ggscore.TxnConflictError
		if err != nil && !errors.As(err, &conflict) {
			_ = level.Info(t.options.Log).Log("event", ggslog.EventOriginsUnstored, "err", err)
		}
	}
	return err
}

// maxDeletes bounds the old journals that are deleted in one transaction.
const maxDeletes = 16

// readStored reads the register and, if it doesn't tell the origins of a service's streams, the journals. It reports whether the
// register was read by a reading that began after the call. Calls share readings, and journals are read at most each
// journalReadInterval.
func (t *Tracker) readStored(ctx context.Context, s ggscore.Service) bool {
	ctx, cancel := context.WithTimeout(ctx, journalReadTimeout)
	defer cancel()
	t.mu.Lock()
	before := t.registerReads
	t.mu.Unlock()
	select {
	case t.reading <- struct{}{}:
		defer func() { <-t.reading }()
	case <-ctx.Done():
		return false
	}
	if !t.readRegisterAfter(ctx, before) {
		return false
	}
	t.mu.Lock()
	_, sole := t.storedSole(s)
	now := t.options.Now()
	journals := !sole && now.Sub(t.journalsReadAt) >= journalReadInterval
	if journals {
		t.journalsReadAt = now
	}
	t.mu.Unlock()
	if journals {
		// The failure is logged, and the stream's origin stays unknown.
		_ = t.readJournals(ctx)
	}
	return true
}

// readRegisterAfter reads the register, unless a reading with a later number than before has read it. reading is held.
func (t *Tracker) readRegisterAfter(ctx context.Context, before int) bool {
	t.mu.Lock()
	if t.registerRead > before {
		t.mu.Unlock()
		return true
	}
	t.registerReads++
	number := t.registerReads
	t.mu.Unlock()
	if t.readRegister(ctx) != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registerRead = number
	return true
}
