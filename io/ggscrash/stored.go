package ggscrash

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
	// storeDelay is the time after a crash until it is stored, in which others of the same moment follow.
	storeDelay = 20 * time.Millisecond
	// refreshInterval is the time after which stored crashes are stored again, without those that no longer count.
	refreshInterval = 10 * time.Minute
	// maxStoredAge is the age from which stored crashes don't count. Their VM may be gone for good.
	maxStoredAge = 2 * refreshInterval
	// storedReader names the store in the log, in place of a peer.
	storedReader = "store"
)

// A crashesRecord has the crashes that a VM knows, as JSON. They are read by VMs that start, since no VM remembers them
// once all have restarted.
type crashesRecord struct {
	// Written is the Unix time in seconds.
	Written int64         `json:"written"`
	Crashes []crashRecord `json:"crashes"`
}

// A crashRecord is the crash of an endpoint's process under a request.
type crashRecord struct {
	Request  string `json:"request"`
	Endpoint string `json:"endpoint"`
	// StartedAt is the Unix time in milliseconds.
	StartedAt int64 `json:"startedAt"`
}

func crashesRecordOf(written time.Time, rs []ggscore.CrashReport) *crashesRecord {
	w := &crashesRecord{Written: written.Unix()}
	for _, r := range rs {
		for _, c := range r.Crashes {
			if f, ok := c.Suspect.Request(); ok {
				w.Crashes = append(w.Crashes, crashRecord{Request: string(f), Endpoint: string(c.Endpoint), StartedAt: c.StartedAt.UnixMilli()})
			}
		}
	}
	return w
}

// reports returns a report for each request.
func (w *crashesRecord) reports() []ggscore.CrashReport {
	var rs []ggscore.CrashReport
	index := map[string]int{}
	for _, c := range w.Crashes {
		i, ok := index[c.Request]
		if !ok {
			i = len(rs)
			index[c.Request] = i
			rs = append(rs, ggscore.CrashReport{})
		}
		rs[i].Crashes = append(rs[i].Crashes, ggscore.Crash{
			Suspect: ggscore.SuspectRequest(ggscore.Fingerprint(c.Request)), Endpoint: ggscore.EndpointID(c.Endpoint), StartedAt: time.UnixMilli(c.StartedAt),
		})
	}
	return rs
}

// A storedCrashes is this VM's record of crashes in the store. It belongs to the goroutine that maintains it.
type storedCrashes struct {
	key ggscore.Key
	// at is the record's position, if it is known.
	at    ggscore.StorePosition
	known bool
	// exists is set if the record has crashes.
	exists bool
}

// readStored observes the crashes that VMs have stored.
func (t *Tracker) readStored(ctx context.Context) error {
	defer close(t.start.stored)
	if t.options.Crashes == "" {
		return nil
	}
	es, _, err := t.options.Store.Snapshot(ctx, t.options.Crashes+"/", false)
	reports := 0
	for _, n := range es {
		var w crashesRecord
		if err := json.Unmarshal(n.Value, &w); err != nil {
			_ = level.Warn(t.options.Log).Log("event", ggslog.EventRecordUnreadable, "key", n.Key, "revision", n.Revision, "err", err)
			continue
		}
		if t.options.TimeOfDay().Sub(time.Unix(w.Written, 0)) > maxStoredAge {
			continue
		}
		for _, r := range w.reports() {
			reports++
			t.Observe(r)
		}
	}
	_ = level.Info(t.options.Log).Log("event", ggslog.EventCrashesRead, "peer", storedReader, "reports", reports, "complete", err == nil, "err", err)
	return nil
}

// maintainStored stores the crashes that this VM knows after each crash of its own requests.
func (t *Tracker) maintainStored(ctx context.Context) error {
	if t.options.Crashes == "" {
		return nil
	}
	s := &storedCrashes{key: ggscore.KeyOf(string(t.options.Crashes), string(t.options.VM))}
	for {
		refresh := time.NewTimer(refreshInterval)
		select {
		case <-t.crashed:
		case <-refresh.C:
		case <-ctx.Done():
			refresh.Stop()
			return nil
		}
		refresh.Stop()
		if !pause(ctx, storeDelay) {
			return nil
		}
		for failures := 1; !t.store(ctx, s); failures++ {
			if !pause(ctx, t.options.RetryPause(failures)) {
				return nil
			}
		}
	}
}

// store stores the crashes that this VM knows, and reports success.
func (t *Tracker) store(ctx context.Context, s *storedCrashes) bool {
	t.mu.Lock()
	rs := t.table.KnownRequests(t.options.Now())
	t.mu.Unlock()
	if len(rs) == 0 && !s.exists {
		return true
	}
	if err := t.storeReports(ctx, s, rs); err != nil {
		// The write may have been executed all the same.
		s.known = false
		_ = level.Info(t.options.Log).Log("event", ggslog.EventCrashesUnstored, "requests", len(rs), "err", err)
		return false
	}
	return true
}

func (t *Tracker) storeReports(ctx context.Context, s *storedCrashes, rs []ggscore.CrashReport) error {
	if !s.known {
		_, at, err := ggsrecord.Read(ctx, t.options.Store, s.key)
		if err != nil {
			return err
		}
		s.at, s.known = at, true
	}
	var v []byte
	if len(rs) > 0 {
		b, err := json.Marshal(crashesRecordOf(t.options.TimeOfDay(), rs))
		if err != nil {
			return errors.Wrap(err, "encoding the record of crashes")
		}
		v = b
	}
	at, err := ggsrecord.Write(ctx, t.options.Store, s.key, v, s.at)
	if err != nil {
		return err
	}
	s.at, s.exists = at, len(rs) > 0
	return nil
}
