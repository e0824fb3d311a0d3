package ggsfakeplatform

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
)

// handleWatch answers as soon as something below the prefix has changed, and
// without entries when the wait is over.
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
	p.waiting(1)
	defer p.waiting(-1)
	end := time.NewTimer(wait)
	defer end.Stop()
	over := wait <= 0
	for {
		l := p.look(g.Query("prefix"), after)
		if l.outage {
			p.refuseOutage(g)
			return
		}
		if over || len(l.found.Entries) > 0 {
			g.JSON(http.StatusOK, l.found)
			return
		}
		// Nothing below the prefix changed so far, so that the next look needs
		// only what comes after; a long wait would else look through all again
		// at each write.
		after = max(after, l.found.Revision)
		sweep := time.NewTimer(l.next)
		select {
		case <-l.changed:
		case <-sweep.C:
		case <-end.C:
			over = true
		case <-g.Request.Context().Done():
			sweep.Stop()
			panic(http.ErrAbortHandler)
		}
		sweep.Stop()
	}
}

// A glance is what a waiting watch sees.
type glance struct {
	found   entriesWire
	outage  bool
	changed <-chan struct{}
	// next is when to look again for a lapse or a delayed write.
	next time.Duration
}

func (p *Platform) look(prefix string, after uint64) glance {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
	ks := p.store.since(prefix, after)
	w := entriesWire{Entries: make([]entryWire, 0, len(ks)), Revision: p.store.revision}
	for _, k := range ks {
		e := p.store.entries[k]
		w.Entries = append(w.Entries, entryWire{Key: k, Value: e.value, Revision: e.revision, Lease: e.lease})
	}
	return glance{found: w, outage: p.faults.Outage, changed: p.changed, next: p.nextDue()}
}

// nextDue is called with the lock held.
func (p *Platform) nextDue() time.Duration {
	due := p.store.nextLapse()
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

func (p *Platform) waiting(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Waiting += n
	if n > 0 {
		p.calls.Watches++
	}
}
