package ggsedge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsgossip"
	"greengageslip/core/ggsresident"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggsrecord"
)

// blockedPause is the pause of a worker whose orders wait until an unanswered one is recorded, unless the
// record wakes it before.
const blockedPause = 50 * time.Millisecond

// An orderLog holds the unanswered orders to an endpoint, and the state of their record in the store. Its fields
// are guarded by Edge.mu.
type orderLog struct {
	unanswered ggsresident.Unanswered
	// fence is the fencing token under which this VM has taken the record over, zero for none.
	fence ggscore.FencingToken
	// read is set if the record is at the position, as far as this VM knows. A zero revision means
	// that there is none.
	read bool
	at   ggscore.StorePosition
	// inherited is the position of the last record that was inherited.
	inherited ggscore.StorePosition
	// storing is set while the record is being stored. After a number of consecutive failures the next try
	// is at retryAt.
	storing  bool
	failures int
	retryAt  time.Time
}

// An orderLogRecord is the JSON form of a ggsresident.OrderRecord.
type orderLogRecord struct {
	// Process is the process that wrote the record. It knows more than the record.
	Process   string   `json:"process"`
	Expected  []uint64 `json:"expected,omitempty"`
	Takeovers int      `json:"takeovers,omitempty"`
}

// process identifies this process of the VM.
func (e *Edge) process() string {
	return string(e.options.VM) + "/" + strconv.FormatInt(e.startedAt, 36)
}

func (e *Edge) orderLogKey(id ggscore.EndpointID) ggscore.Key {
	return ggscore.KeyOf(string(e.options.Keys.Orders), string(id))
}

// orderLogOf returns the unanswered orders to an endpoint. Edge.mu is held.
func (e *Edge) orderLogOf(id ggscore.EndpointID) *orderLog {
	now := e.Now()
	for o, l := range e.orderLogs {
		if e.workers[o] == nil && l.unanswered.Empty(now) {
			delete(e.orderLogs, o)
		}
	}
	l := e.orderLogs[id]
	if l == nil {
		l = &orderLog{}
		e.orderLogs[id] = l
	}
	return l
}

// takeOverOrders reads the previous owner's record and stores it as this VM's own, before this VM's first order
// under a fencing token. It reports success.
func (e *Edge) takeOverOrders(ctx context.Context, w *worker, fence ggscore.FencingToken) bool {
	e.mu.Lock()
	id, l := w.instance.ID, w.orders
	l.read, l.storing = false, true
	e.mu.Unlock()
	err := e.storeOrders(ctx, id, l)
	e.mu.Lock()
	defer e.mu.Unlock()
	l.storing = false
	if err != nil {
		return false
	}
	l.fence = fence
	r := l.unanswered.Record(e.Now())
	_ = level.Info(e.Log).Log("event", ggslog.EventOrdersTakenOver, "endpoint", id, "fence", fence, "unanswered", len(r.Expected), "takeovers", r.Takeovers)
	return true
}

// startRecording records the unanswered orders in the background if that is due. Edge.mu is held.
func (e *Edge) startRecording(ctx context.Context, now time.Time, w *worker, run func(func())) {
	l := w.orders
	due := l.unanswered.RecordDue(now)
	if due.IsZero() || now.Before(due) || l.storing || now.Before(l.retryAt) {
		return
	}
	l.storing = true
	id := w.instance.ID
	run(func() {
		err := e.storeOrders(ctx, id, l)
		e.endRecording(l, err)
		w.wake()
	})
}

// endRecording applies the result of storing the record. A failed try is repeated after a pause.
func (e *Edge) endRecording(l *orderLog, err error) {
	serves := e.started()
	e.mu.Lock()
	defer e.mu.Unlock()
	l.storing = false
	if err == nil {
		l.failures, l.retryAt = 0, time.Time{}
		return
	}
	l.failures++
	l.retryAt = e.Now().Add(ggsgossip.RetryPause(l.failures, serves, rand.Float64()))
}

// recordDue returns when startRecording has to be called again, zero for not before the worker is woken. Edge.mu
// is held.
func (l *orderLog) recordDue(now time.Time) time.Time {
	if l.storing {
		return time.Time{}
	}
	due := l.unanswered.RecordDue(now)
	if !due.IsZero() && due.Before(l.retryAt) {
		return l.retryAt
	}
	return due
}

// storeOrders stores the record of the unanswered orders to an endpoint. It first reads the record if it isn't known
// which one the store has, and inherits what another process has written.
func (e *Edge) storeOrders(ctx context.Context, id ggscore.EndpointID, l *orderLog) error {
	e.mu.Lock()
	read := l.read
	e.mu.Unlock()
	if !read {
		if err := e.readOrders(ctx, id, l); err != nil {
			return err
		}
	}
	e.mu.Lock()
	made := e.Now()
	r, at := l.unanswered.Record(made), l.at
	e.mu.Unlock()
	k := e.orderLogKey(id)
	v, err := json.Marshal(&orderLogRecord{Process: e.process(), Expected: r.Expected, Takeovers: r.Takeovers})
	if err != nil {
		return err
	}
	stored, err := ggsrecord.Write(ctx, e.Store, k, v, at)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		// The write may have been executed all the same, or another owner has written.
		l.read = false
		_ = level.Info(e.Log).Log("event", ggslog.EventOrdersUnrecorded, "endpoint", id, "unanswered", len(r.Expected), "err", err)
		return err
	}
	l.at = stored
	l.unanswered.Recorded(made, r)
	return nil
}

// readOrders reads the record of the unanswered orders to an endpoint.
func (e *Edge) readOrders(ctx context.Context, id ggscore.EndpointID, l *orderLog) error {
	k := e.orderLogKey(id)
	v, at, err := ggsrecord.Read(ctx, e.Store, k)
	if err != nil {
		_ = level.Info(e.Log).Log("event", ggslog.EventOrdersUnrecorded, "endpoint", id, "err", err)
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l.read, l.at = true, at
	if at.Revision == 0 {
		return nil
	}
	var r orderLogRecord
	if err := json.Unmarshal(v, &r); err != nil {
		_ = level.Warn(e.Log).Log("event", ggslog.EventRecordUnreadable, "key", k, "revision", at.Revision, "err", err)
		r = orderLogRecord{}
	}
	if r.Process != e.process() && l.at != l.inherited {
		l.inherited = l.at
		l.unanswered.Inherit(e.Now(), ggsresident.OrderRecord{Expected: r.Expected, Takeovers: r.Takeovers})
	}
	return nil
}
