// Package ggsvms keeps a copy of the platform's list of VMs, which lags behind the VMs' state.
//
// # Usage
//
//	f := ggsvms.New(lister, peers, ggsvms.Options{Interval: time.Second}, clock, logger)
//	f.SetMembers(members) // before Run
//	f.Subscribe(func(vms []ggscore.VM) { … })
//	err := server.Register(ggsvms.ServiceName, ggsvms.NewService(f))
//	err = f.Run(ctx)
//
// At the design size, the list has hundreds of kilobytes, and each reading is a call to the
// platform. Therefore only a few VMs of each failure domain, the readers, read the list from the
// platform. The others request it from the readers with the digest of their own list, and receive
// a list only if its digest differs.
//
// Each list has an age, and the younger list is kept, so that a peer can't replace a list by an
// older one. A process that starts while the platform is unreachable gets the list from its peers.
// If neither the platform nor a peer answers, the last list stays in use.
//
// # Locks
//
// Follower.mu is a leaf lock: no subscriber, membership or peer is called while it is held.
package ggsvms

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
)

const (
	callTimeout = 2 * time.Second
	// In one of anyPeerRounds rounds, a process queries any member instead of a reader.
	anyPeerRounds = 4
	// A list is stale after staleIntervals intervals. In one of staleReadRounds rounds, a process
	// with a stale list reads the platform's list itself.
	staleIntervals  = 10
	staleReadRounds = 4
)

// Options configures a Follower.
type Options struct {
	// Interval is the mean time between two readings.
	Interval time.Duration
}

// A Membership determines which processes read the platform's list and which peers to query.
type Membership interface {
	// IsReader reports whether this process reads the platform's list.
	IsReader() bool
	// Readers returns the peers of this failure domain that read the platform's list, and Others
	// returns all other peers.
	Readers() []Peer
	Others() []Peer
}

// A Follower keeps the latest list. It is safe for concurrent use.
type Follower struct {
	lister  ggscore.VMLister
	peers   PeerLister
	options Options
	clock   func() time.Time
	log     log.Logger

	mu                  sync.Mutex
	members             Membership
	list                list
	platformUnreachable bool
	// skipped says which entries of the last list couldn't be read, empty for none.
	skipped     string
	subscribers []func([]ggscore.VM)
}

// A list is one reading of the platform's list.
type list struct {
	vms    []ggscore.VM
	digest ggscore.Digest
	// read is the time by the local clock at which the list was requested from the platform. It is
	// zero if there is no list yet.
	read time.Time
}

// New returns a Follower without a list.
func New(l ggscore.VMLister, p PeerLister, o Options, clock func() time.Time, k log.Logger) *Follower {
	return &Follower{lister: l, peers: p, options: o, clock: clock, log: k}
}

// List returns the latest list. known is false if there is no list yet.
func (f *Follower) List() (vms []ggscore.VM, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list.vms, !f.list.read.IsZero()
}

// Run updates the list at each interval until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for round := 0; ctx.Err() == nil; round++ {
		if !f.read(ctx) {
			f.queryPeer(ctx, round)
		}
		// The interval is randomized so that processes that started at the same time don't read
		// at the same time.
		t := time.NewTimer(f.options.Interval/2 + rand.N(f.options.Interval))
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C:
		}
	}
	return nil
}

// SetMembers sets the membership. It must be called before Run.
func (f *Follower) SetMembers(m Membership) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = m
}

// Subscribe registers a callback for each list that differs from the previous one. It must be
// called before Run.
func (f *Follower) Subscribe(callback func([]ggscore.VM)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, callback)
}

// adopt replaces the current list if n was read later.
//
// A peer that can't reach the platform continues to serve the list that it last read. In such a
// list, a VM that has been leaving for long may still be live, and would get new work. A list that
// was read earlier than the current list is therefore ignored, whichever peer serves it.
func (f *Follower) adopt(n list) {
	f.mu.Lock()
	if !n.read.After(f.list.read) {
		f.mu.Unlock()
		return
	}
	same := !f.list.read.IsZero() && n.digest == f.list.digest
	f.list = n
	subscribers := f.subscribers
	f.mu.Unlock()
	if same {
		return
	}
	for _, c := range subscribers {
		c(n.vms)
	}
}

// queryPeer requests the list from a random peer, usually a reader. In some rounds it selects any
// peer, so that a failure domain that can't reach the platform still gets new lists. It also
// selects any peer while there is no list yet or no reader is known.
func (f *Follower) queryPeer(ctx context.Context, round int) {
	f.mu.Lock()
	m, current := f.members, f.list
	f.mu.Unlock()
	if m == nil {
		return
	}
	candidates := m.Readers()
	if len(candidates) == 0 || round%anyPeerRounds == anyPeerRounds-1 || current.read.IsZero() {
		candidates = append(candidates, m.Others()...)
	}
	if len(candidates) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := f.clock()
	a, err := f.peers.VMs(ctx, candidates[rand.IntN(len(candidates))], current.digest)
	if err != nil || !a.Known {
		return
	}
	n := list{vms: a.VMs, digest: digestOf(a.VMs), read: requestedAt.Add(-a.Age)}
	if a.Same {
		n.vms, n.digest = current.vms, current.digest
	}
	f.adopt(n)
}

// answer returns the answer to a peer whose list has the digest d.
func (f *Follower) answer(d ggscore.Digest) Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.list.read.IsZero() {
		return Answer{}
	}
	a := Answer{Known: true, Age: f.clock().Sub(f.list.read), Same: d == f.list.digest}
	if !a.Same {
		a.VMs = f.list.vms
	}
	return a
}

// read reads the platform's list if this process should. It reports whether it has read the list.
func (f *Follower) read(ctx context.Context) bool {
	if f.lister == nil || !f.shouldRead() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := f.clock()
	vms, err := f.lister.ListVMs(ctx)
	var partial *ggscore.PartialListError
	if errors.As(err, &partial) {
		err = nil
	}
	f.recordReachability(ctx, err)
	if err != nil {
		return false
	}
	f.recordSkipped(partial)
	f.adopt(list{vms: vms, digest: digestOf(vms), read: requestedAt})
	return true
}

// shouldRead reports whether this process reads the platform's list in this round.
//
// A process without any listed VM knows no peer to query, so it reads the list itself. Each process
// determines the readers by its own view of the members. If the views differ, there may be no
// reader, and all processes would keep a stale list forever. A process with a stale list therefore
// reads the platform's list itself in some rounds.
func (f *Follower) shouldRead() bool {
	f.mu.Lock()
	m, current := f.members, f.list
	f.mu.Unlock()
	if m == nil || len(current.vms) == 0 {
		return true
	}
	stale := f.clock().Sub(current.read) > staleIntervals*f.options.Interval
	return m.IsReader() || (stale && rand.IntN(staleReadRounds) == 0)
}

// recordSkipped logs entries that can't be read when they change, nil if there are none.
func (f *Follower) recordSkipped(p *ggscore.PartialListError) {
	text := ""
	if p != nil {
		text = p.Error()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if text == f.skipped {
		return
	}
	f.skipped = text
	_ = level.Warn(f.log).Log("event", "vmsUnreadable", "err", text)
}

func (f *Follower) recordReachability(ctx context.Context, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if unreachable := err != nil; f.platformUnreachable != unreachable && ctx.Err() == nil {
		f.platformUnreachable = unreachable
		_ = level.Info(f.log).Log("event", "vmListReached", "reached", !unreachable)
	}
}
