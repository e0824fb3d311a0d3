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
	// startPeers bounds the peers that a process asks when it has no document.
	startPeers = 16
	// startCalls bounds the calls to them at once.
	startCalls = 4
	// startPart is the part of the poll interval at which it asks them.
	startPart = 5
	// farPolls is the share of the rounds, one in so many, in which a VM that
	// doesn't watch polls another VM besides a watcher of its domain.
	farPolls = 4
	// nearTries bounds the watchers that are tried in a round.
	nearTries = 2
)

// An offeredHead is a head as a peer has it.
type offeredHead struct {
	head ggsdocument.Head
	from Member
}

// poll asks peers for newer heads. A VM that doesn't watch polls the watchers
// of its domain, and now and then any other VM; a watcher polls other domains,
// which carries a change into a domain that is cut off from the platform.
func (f *Follower) poll(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		pause := f.options.PollInterval
		if f.Current() == nil {
			// Nothing can be served yet, so it asks more often.
			f.askAll(ctx)
			pause /= startPart
		} else {
			f.pollOnce(ctx, round)
		}
		wait(ctx, jittered(pause))
	}
}

// pollOnce polls a watcher of the domain, and another VM if this is its round.
func (f *Follower) pollOnce(ctx context.Context, round int) {
	near, far := f.peers()
	for _, m := range someOf(near, nearTries) {
		if f.ask(ctx, m) {
			break
		}
	}
	if len(near) > 0 && round%farPolls != 0 {
		return
	}
	for _, m := range someOf(far, 1) {
		f.ask(ctx, m)
	}
}

// ask asks one peer and follows its head if it is newer. It reports whether the
// peer answered.
func (f *Follower) ask(ctx context.Context, m Member) bool {
	h, newer, err := f.peerHead(ctx, m)
	if err == nil && newer {
		f.followPeer(ctx, offeredHead{head: h, from: m})
	}
	return err == nil
}

// askAll asks many peers and follows the highest head, or the next one where
// that can't be pulled.
func (f *Follower) askAll(ctx context.Context) {
	l := someOf(f.others(), startPeers)
	var mu sync.Mutex
	var heads []offeredHead
	var g errgroup.Group
	g.SetLimit(startCalls)
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

// others returns the members but this VM.
func (f *Follower) others() []Member {
	l := slices.Clone(f.options.Members.Members())
	if f.options.PeersOnly {
		return l
	}
	return slices.DeleteFunc(l, func(m Member) bool { return m.VM == f.options.Self })
}

// peers returns the VMs to poll in each round and those to poll now and then. A
// watcher has none of the first: it has the head from the platform as early as
// the other watchers of its domain. Of the second it takes other domains: the
// platform may be out of its reach but not of theirs.
func (f *Follower) peers() (near, far []Member) {
	w := f.watchers()
	watcher := !f.options.PeersOnly && slices.Contains(w, f.options.Self)
	for _, m := range f.others() {
		own := m.Domain == f.options.Domain
		switch {
		case !watcher && own && slices.Contains(w, m.VM):
			near = append(near, m)
		case !watcher || !own:
			far = append(far, m)
		}
	}
	return near, far
}

// someOf returns some members at random.
func someOf(l []Member, n int) []Member {
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(len(l), n)]
}

// isRefusal reports whether a head was refused as lower or forked.
func isRefusal(err error) bool {
	var lower *ggsdocument.LowerHeadError
	var forked *ggsdocument.ForkedHeadError
	return errors.As(err, &lower) || errors.As(err, &forked)
}

// jittered returns a duration within a quarter of d, so that the processes'
// calls spread after a common start.
func jittered(d time.Duration) time.Duration {
	return d - d/4 + rand.N(d/2+1)
}
