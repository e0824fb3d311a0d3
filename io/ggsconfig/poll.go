package ggsconfig

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
)

const (
	// startPeers is the maximum number of peers polled per round by a process without a
	// document.
	startPeers = 16
	// startConcurrency is the maximum number of concurrent calls in such a round.
	startConcurrency = 4
	// startIntervalDivisor divides the poll interval of a process without a document.
	startIntervalDivisor = 5
	// occasionalRounds is the period, in rounds, at which a VM that doesn't watch polls
	// another VM in addition to a watcher of its domain.
	occasionalRounds = 4
	// regularAttempts is the maximum number of watchers called in a round until one
	// answers.
	regularAttempts = 2
)

// An offeredHead is a head received from a peer.
type offeredHead struct {
	head ggsdocument.Head
	from Member
}

// poll reads newer heads from peers until the context ends. A VM that doesn't watch polls
// the watchers of its domain, and any other VM at a lower rate. A watcher polls VMs of
// other domains, so that a change reaches a domain without access to the platform.
func (f *Follower) poll(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		pause := f.options.PollInterval
		if f.Current() == nil {
			// Without a document this process can't serve, so it polls more often.
			f.pollMany(ctx)
			pause /= startIntervalDivisor
		} else {
			f.pollOnce(ctx, round)
		}
		wait(ctx, jittered(pause))
	}
}

// pollOnce polls a watcher of the domain and, every occasionalRounds rounds or if there
// is no such watcher, another VM.
func (f *Follower) pollOnce(ctx context.Context, round int) {
	regular, occasional := f.peers()
	for _, m := range randomMembers(regular, regularAttempts) {
		if f.pollPeer(ctx, m) {
			break
		}
	}
	if len(regular) > 0 && round%occasionalRounds != 0 {
		return
	}
	for _, m := range randomMembers(occasional, 1) {
		f.pollPeer(ctx, m)
	}
}

// pollPeer reads a peer's head and follows it if it is newer. It reports whether the peer
// answered.
func (f *Follower) pollPeer(ctx context.Context, m Member) bool {
	h, newer, err := f.peerHead(ctx, m)
	if err == nil && newer {
		f.followPeer(ctx, offeredHead{head: h, from: m})
	}
	return err == nil
}

// pollMany reads the heads of up to startPeers peers. It follows the highest head, or the
// next lower one if the sections of a head can't be read.
func (f *Follower) pollMany(ctx context.Context) {
	l := randomMembers(f.others(), startPeers)
	var mu sync.Mutex
	var heads []offeredHead
	var g errgroup.Group
	g.SetLimit(startConcurrency)
	for _, m := range l {
		g.Go(func() error {
			h, newer, err := f.peerHead(ctx, m)
			if err == nil && newer {
				mu.Lock()
				heads = append(heads, offeredHead{head: h, from: m})
				mu.Unlock()
			}
			return nil
		})
	}
	_ = g.Wait() // its functions return nil
	slices.SortFunc(heads, func(a, b offeredHead) int {
		return cmp.Or(cmp.Compare(b.head.Revision, a.head.Revision), cmp.Compare(a.from.VM, b.from.VM))
	})
	for _, h := range heads {
		if h.head.Revision > f.Head().Revision {
			f.followPeer(ctx, h)
		}
	}
}

func (f *Follower) followPeer(ctx context.Context, o offeredHead) {
	s := source{name: string(o.from.VM), section: func(ctx context.Context, d ggscore.Digest) ([]byte, error) {
		return f.options.Peers.Section(ctx, o.from.Addr, d)
	}}
	if err := f.follow(ctx, o.head, s); err != nil && !isRefusal(err) && ctx.Err() == nil {
		_ = f.options.Logger.Log("event", "pullFailed", "from", s.name, "err", err)
	}
}

func (f *Follower) peerHead(ctx context.Context, m Member) (ggsdocument.Head, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
	defer cancel()
	return f.options.Peers.Head(ctx, m.Addr, f.Head())
}

// others returns the members to poll: all but this VM, or all for a process with
// Options.PeersOnly.
func (f *Follower) others() []Member {
	l := slices.Clone(f.options.Members.Members())
	if f.options.PeersOnly {
		return l
	}
	return slices.DeleteFunc(l, func(m Member) bool { return m.VM == f.options.Self })
}

// peers returns the VMs to poll in every round and those to poll occasionally. For a
// watcher, regular is empty: it receives a head from the platform as early as the other
// watchers of its domain. Its occasional peers are in other domains, which may reach the
// platform when its own domain doesn't.
func (f *Follower) peers() (regular, occasional []Member) {
	w := f.watchers()
	watcher := !f.options.PeersOnly && slices.Contains(w, f.options.Self)
	for _, m := range f.others() {
		own := m.Domain == f.options.Domain
		switch {
		case !watcher && own && slices.Contains(w, m.VM):
			regular = append(regular, m)
		case !watcher || !own:
			occasional = append(occasional, m)
		}
	}
	return regular, occasional
}

// randomMembers returns up to n randomly chosen members. It shuffles l.
func randomMembers(l []Member, n int) []Member {
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(len(l), n)]
}

// isRefusal reports whether a head was refused as lower or forked.
func isRefusal(err error) bool {
	var lower *ggsdocument.LowerHeadError
	var forked *ggsdocument.ForkedHeadError
	return errors.As(err, &lower) || errors.As(err, &forked)
}

// jittered returns a random duration between 0.75 d and 1.25 d, so that the calls of
// processes that started together spread out.
func jittered(d time.Duration) time.Duration {
	return d - d/4 + rand.N(d/2+1)
}
