package ggsfakeplatform

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"golang.org/x/time/rate"
)

// limitReads applies faults and the rate limit to a read.
func (p *Platform) limitReads(g *gin.Context) { p.admit(g, p.reads, false) }

// limitWrites applies faults and the rate limit to a write.
func (p *Platform) limitWrites(g *gin.Context) { p.admit(g, p.writes, true) }

// admit counts a call and applies the faults and the rate limit to it. It aborts a call that
// isn't served.
func (p *Platform) admit(g *gin.Context, l *rate.Limiter, write bool) {
	f := p.countCall(write)
	if f.Hang {
		// The server detects that a caller disconnects only after the body has been read.
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
		refuse(g, http.StatusTooManyRequests, errorBodyWire{Kind: "busy", Detail: "rate limit exceeded"})
		return
	}
	if f.Slow > 0 && !sleep(g.Request.Context(), f.Slow) {
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) countCall(write bool) Faults {
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

// write applies a write under the lock and answers, unless a fault drops the answer. apply
// is called with the lock held.
func (p *Platform) write(g *gin.Context, key string, apply func() (any, error)) {
	p.mu.Lock()
	p.sweep()
	if p.faults.DelayWrites > 0 && faultApplies(p.faults, key) {
		p.faults.DelayWrites--
		p.calls.Failed++
		p.delay(apply)
		p.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	out, err := apply()
	if err == nil {
		p.notifyWatches()
	}
	loseAnswer := p.faults.LoseWriteAnswers > 0 && faultApplies(p.faults, key)
	if loseAnswer {
		p.faults.LoseWriteAnswers--
		p.calls.Failed++
	}
	p.mu.Unlock()
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		fail(g, err)
		return
	}
	g.JSON(http.StatusOK, out)
}

// delay schedules a write for later. The result of the write is dropped, also if the write
// then fails with a conflict. delay is called with the lock held.
func (p *Platform) delay(apply func() (any, error)) {
	due := p.options.Now().Add(p.faults.Delay)
	p.delayed = append(p.delayed, delayedWrite{due: due, apply: func() { _, _ = apply() }})
}

// sleep waits for d and reports whether the caller is still connected.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
