// Package ggsvms follows the platform's lagging list of VMs.
//
// # Usage
//
//	f := ggsvms.New(lister, peers, ggsvms.Options{Interval: time.Second}, clock, logger)
//	f.SetMembers(members) // before Run
//	f.Subscribe(func(vms []ggscore.VM) { … })
//	err := server.Register(ggsvms.ServiceName, ggsvms.NewService(f))
//	err = f.Run(ctx)
//
// The list of the design size has hundreds of kilobytes, and each reading is a
// call of the platform. A few VMs of each failure domain read it; the others
// ask those, with the digest of what they have, and are sent a list only if it
// differs. A list comes with its age, and the younger one wins, so that no old
// list comes back from a peer. A process that starts while the platform is away
// has the list from its peers; without any, the last list stays in force.
//
// # Locks
//
// Follower.mu is a leaf: nothing is called out under it.
package ggsvms

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
)

const (
	callTimeout = 2 * time.Second
	// farAsks is the share of rounds, one in so many, in which a process asks
	// any member instead of one that reads the platform's list.
	farAsks = 4
)

// Options sets a Follower's times.
type Options struct {
	// Interval is the mean time between two readings.
	Interval time.Duration
}

// A Membership says who reads the platform's list and whom to ask for it.
type Membership interface {
	// Reads reports whether this process reads the platform's list.
	Reads() bool
	// Readers returns those of its domain that do, Others all the rest.
	Readers() []Peer
	Others() []Peer
}

// A Follower keeps the latest list.
type Follower struct {
	lister  ggscore.VMLister
	peers   PeerLister
	options Options
	clock   func() time.Time
	log     log.Logger

	mu      sync.Mutex
	members Membership
	list    list
	away    bool
	notify  []func([]ggscore.VM)
}

// A list is one reading of the platform's list.
type list struct {
	vms    []ggscore.VM
	digest ggscore.Digest
	// read is when the platform was asked, by the own clock; zero means never.
	read time.Time
}

// New returns a Follower without a list.
func New(l ggscore.VMLister, p PeerLister, o Options, clock func() time.Time, k log.Logger) *Follower {
	return &Follower{lister: l, peers: p, options: o, clock: clock, log: k}
}

// List returns the latest list; known is false until there was one.
func (f *Follower) List() (vms []ggscore.VM, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list.vms, !f.list.read.IsZero()
}

// Run follows the list until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for round := 0; ctx.Err() == nil; round++ {
		if !f.read(ctx) {
			f.ask(ctx, round)
		}
		// The interval is spread so that processes that started together
		// don't read together.
		t := time.NewTimer(f.options.Interval/2 + rand.N(f.options.Interval))
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C:
		}
	}
	return nil
}

// SetMembers says who reads the platform's list. It is called before Run.
func (f *Follower) SetMembers(m Membership) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = m
}

// Subscribe calls back with each list that differs from the one before. It is
// called before Run.
func (f *Follower) Subscribe(notify func([]ggscore.VM)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify = append(f.notify, notify)
}

// adopt takes a list if it is younger than the own one.
//
// A peer that is cut off from the platform goes on serving what it read last.
// Taken as news, its list would show as live a VM that has been leaving for
// long, which would get new work. What was read earlier than the own list is
// therefore not taken, whoever serves it.
func (f *Follower) adopt(n list) {
	f.mu.Lock()
	if !n.read.After(f.list.read) {
		f.mu.Unlock()
		return
	}
	same := !f.list.read.IsZero() && n.digest == f.list.digest
	f.list = n
	notify := f.notify
	f.mu.Unlock()
	if same {
		return
	}
	for _, c := range notify {
		c(n.vms)
	}
}

// ask asks a peer: mostly one that reads the platform's list, now and then
// another, through which a domain that is cut off from the platform follows.
func (f *Follower) ask(ctx context.Context, round int) {
	f.mu.Lock()
	m, have := f.members, f.list
	f.mu.Unlock()
	if m == nil {
		return
	}
	some := m.Readers()
	if len(some) == 0 || round%farAsks == farAsks-1 || have.read.IsZero() {
		some = append(some, m.Others()...)
	}
	if len(some) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := f.clock()
	a, err := f.peers.VMs(ctx, some[rand.IntN(len(some))], have.digest)
	if err != nil || !a.Known {
		return
	}
	n := list{vms: a.VMs, digest: digestOf(a.VMs), read: asked.Add(-a.Age)}
	if a.Same {
		n.vms, n.digest = have.vms, have.digest
	}
	f.adopt(n)
}

// answer serves a peer.
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

// read reads the platform's list where this process is to; it reports whether
// it did.
func (f *Follower) read(ctx context.Context) bool {
	f.mu.Lock()
	m, known := f.members, !f.list.read.IsZero()
	f.mu.Unlock()
	if f.lister == nil || (known && m != nil && !m.Reads()) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := f.clock()
	vms, err := f.lister.ListVMs(ctx)
	f.noteAway(ctx, err)
	if err != nil {
		return false
	}
	f.adopt(list{vms: vms, digest: digestOf(vms), read: asked})
	return true
}

func (f *Follower) noteAway(ctx context.Context, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if away := err != nil; f.away != away && ctx.Err() == nil {
		f.away = away
		_ = level.Info(f.log).Log("event", "vmListReached", "reached", !away)
	}
}
