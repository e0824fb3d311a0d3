package ggsfakeplatform

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
)

// handleWatch answers as soon as a key with the prefix has changed, or without entries when
// the wait is over.
func (p *Platform) handleWatch(g *gin.Context) {
	after, err := strconv.ParseUint(g.Query("after"), 10, 64)
	if err != nil {
		fail(g, &badCallError{detail: err.Error()})
		return
	}
	wait, err := waitOf(g)
	if err != nil {
		fail(g, err)
		return
	}
	p.countWaiting(1)
	defer p.countWaiting(-1)
	end := time.NewTimer(wait)
	defer end.Stop()
	expired := wait <= 0
	for {
		l := p.poll(g.Query("prefix"), after)
		if l.outage {
			p.refuseOutage(g)
			return
		}
		if expired || len(l.entries.Entries) > 0 {
			g.JSON(http.StatusOK, l.entries)
			return
		}
		// No key with the prefix has changed so far, so the next poll starts at the
		// current revision. Otherwise a long wait would scan all changes again at
		// each write.
		after = max(after, l.entries.Revision)
		sweep := time.NewTimer(l.next)
		select {
		case <-l.changed:
		case <-sweep.C:
		case <-end.C:
			expired = true
		case <-g.Request.Context().Done():
			sweep.Stop()
			panic(http.ErrAbortHandler)
		}
		sweep.Stop()
	}
}

// A watchState is the state that a waiting watch polls.
type watchState struct {
	entries entriesWire
	outage  bool
	changed <-chan struct{}
	// next is the time until the next lease expires or the next delayed write is due.
	next time.Duration
}

func (p *Platform) poll(prefix string, after uint64) watchState {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
	ks := p.store.changedSince(prefix, after)
	w := entriesWire{Entries: make([]entryWire, 0, len(ks)), Revision: p.store.revision}
	for _, k := range ks {
		e := p.store.entries[k]
		w.Entries = append(w.Entries, entryWire{Key: k, Value: e.value, Revision: e.revision, Lease: e.lease})
	}
	return watchState{entries: w, outage: p.faults.Outage, changed: p.changed, next: p.nextDue()}
}

// nextDue returns the time until the next lease expires or the next delayed write is due, at
// least 1 ms, or maxWait if there is neither. It is called with the lock held.
func (p *Platform) nextDue() time.Duration {
	due := p.store.nextExpiry()
	for _, d := range p.delayed {
		if due.IsZero() || d.due.Before(due) {
			due = d.due
		}
	}
	if due.IsZero() {
		return maxWait
	}
	return max(due.Sub(p.options.Now()), time.Millisecond)
}

func (p *Platform) countWaiting(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Waiting += n
	if n > 0 {
		p.calls.Watches++
	}
}
