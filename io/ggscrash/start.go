package ggscrash

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/io/ggslog"
)

const (
	// maxStartTime bounds the time for which a VM that starts holds requests back to learn from its peers.
	maxStartTime = 150 * time.Millisecond
	// maxRead is the number of peers to read from. Some of those in the store's records may be gone.
	maxRead = 4
)

// A start is what a VM that starts learns from its peers before it sends requests to endpoints.
type start struct {
	// peers has the peers once they are known.
	peers chan []netip.AddrPort
	// learned is closed once the VM may send requests.
	learned chan struct{}
	// stored is closed once the crashes that VMs have stored were read.
	stored chan struct{}
	end    func()
	limit  sync.Once
}

func newStart() *start {
	s := &start{peers: make(chan []netip.AddrPort, 1), learned: make(chan struct{}), stored: make(chan struct{})}
	s.end = sync.OnceFunc(func() { close(s.learned) })
	return s
}

// complete reports whether the VM has learned from its peers.
func (s *start) complete() bool {
	select {
	case <-s.learned:
		return true
	default:
		return false
	}
}

// Join names the peers that are known at the start. Later calls have no effect.
func (t *Tracker) Join(peers []netip.AddrPort) {
	if t.start.complete() {
		return
	}
	select {
	case t.start.peers <- peers:
	default:
	}
}

// AwaitStart waits until this VM knows what its peers know of crashes, at most maxStartTime after the first call. A
// VM that starts would send requests on under which endpoints have crashed.
func (t *Tracker) AwaitStart(ctx context.Context) {
	if t.start.complete() {
		return
	}
	t.start.limit.Do(func() { time.AfterFunc(maxStartTime, t.start.end) })
	select {
	case <-t.start.learned:
	case <-ctx.Done():
	}
}

// Known returns what this VM knows of crashes. complete is false if it hasn't learned yet what its peers know.
func (t *Tracker) Known() (rs []ggscore.CrashReport, complete bool) {
	complete = t.start.complete()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Known(t.options.Now()), complete
}

// Greet reports to a peer what it may have missed while it was down or unreachable.
func (t *Tracker) Greet(vm ggscore.VMID) {
	t.mu.Lock()
	rs := t.table.KnownRepeated(t.options.Now())
	t.mu.Unlock()
	for _, r := range rs {
		t.options.Reporter.ReportCrashesTo(vm, r)
	}
}

// learn reads from some peers what they know of crashes.
func (t *Tracker) learn(ctx context.Context) error {
	defer t.start.end()
	var peers []netip.AddrPort
	select {
	case peers = <-t.start.peers:
	case <-ctx.Done():
		return nil
	}
	peers = slices.Clone(peers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), maxRead)]
	ctx, cancel := context.WithTimeout(ctx, maxStartTime)
	defer cancel()
	complete := make(chan bool, len(peers))
	for _, p := range peers {
		go func() { complete <- t.read(ctx, p) }()
	}
	for range peers {
		if <-complete {
			t.start.end()
		}
	}
	select {
	case <-t.start.stored:
	case <-ctx.Done():
	}
	return nil
}

// read observes what a peer knows of crashes, and reports whether the peer knows what its own peers do.
func (t *Tracker) read(ctx context.Context, peer netip.AddrPort) bool {
	rs, complete, err := t.options.Reader.ReadCrashes(ctx, peer)
	_ = level.Info(t.options.Log).Log("event", ggslog.EventCrashesRead, "peer", peer, "reports", len(rs), "complete", complete, "err", err)
	for _, r := range rs {
		t.Observe(r)
	}
	return err == nil && complete
}
