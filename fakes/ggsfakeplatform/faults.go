package ggsfakeplatform

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"golang.org/x/time/rate"
)

// limitReads admits a read.
func (p *Platform) limitReads(g *gin.Context) { p.admit(g, p.reads, false) }

// limitWrites admits a write.
func (p *Platform) limitWrites(g *gin.Context) { p.admit(g, p.writes, true) }

// admit counts a call and meets it with the faults and limits that are set. It
// aborts a call that isn't to be served.
func (p *Platform) admit(g *gin.Context, l *rate.Limiter, write bool) {
	f := p.count(write)
	if f.Hang {
		// The server notices that a caller left only once its body is read.
		_, _ = io.Copy(io.Discard, g.Request.Body)
		<-g.Request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if f.Outage {
		p.refuseOutage(g)
		return
	}
	if !l.AllowN(p.options.Now(), 1) {
		p.mu.Lock()
		p.calls.Refused++
		p.mu.Unlock()
		refuse(g, http.StatusTooManyRequests, errorBodyWire{Kind: "busy", Detail: "over the rate"})
		return
	}
	if f.Slow > 0 && !pause(g.Request.Context(), f.Slow) {
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) count(write bool) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	if write {
		p.calls.Writes++
	} else {
		p.calls.Reads++
	}
	if p.faults.Hang || p.faults.Outage {
		p.calls.Failed++
	}
	return p.faults
}

func (p *Platform) refuseOutage(g *gin.Context) {
	refuse(g, http.StatusServiceUnavailable, errorBodyWire{Kind: "away", Detail: "outage"})
}

// write does a write under the lock and answers, unless a fault takes the
// answer. The write is done by apply, which finds the lock held.
func (p *Platform) write(g *gin.Context, key string, apply func() (any, error)) {
	p.mu.Lock()
	p.sweep()
	if p.faults.DelayWrites > 0 && matches(p.faults, key) {
		p.faults.DelayWrites--
		p.calls.Failed++
		p.delay(apply)
		p.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	out, err := apply()
	if err == nil {
		p.wake()
	}
	lose := p.faults.LoseWriteAnswers > 0 && matches(p.faults, key)
	if lose {
		p.faults.LoseWriteAnswers--
		p.calls.Failed++
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		fail(g, err)
		return
	}
	g.JSON(http.StatusOK, out)
}

// delay is called with the lock held. Nobody hears how the write ends: it may
// meet a conflict by then.
func (p *Platform) delay(apply func() (any, error)) {
	due := p.options.Now().Add(p.faults.Delay)
	p.delayed = append(p.delayed, delayedWrite{due: due, apply: func() { _, _ = apply() }})
}

// pause waits and reports whether the caller is still there.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
