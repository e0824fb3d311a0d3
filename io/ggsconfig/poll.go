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
	// farPolls is the share of a VM's polls that go to any VM, one in so many;
	// the others go to a watcher of its domain.
	farPolls = 4
)

// An offeredHead is a head as a peer has it.
type offeredHead struct {
	head ggsdocument.Head
	from Member
}

// poll asks peers for newer heads. A VM that doesn't watch polls the watchers
// of its domain, and now and then any VM; a watcher polls other domains, which
// carries a change into a domain that is cut off from the platform.
func (f *Follower) poll(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		if f.Current() == nil {
			f.askAll(ctx)
		} else if m, found := f.pick(round); found {
			f.ask(ctx, m)
		}
		wait(ctx, jittered(f.options.PollInterval))
	}
}

// ask asks one peer and follows its head if it is newer.
func (f *Follower) ask(ctx context.Context, m Member) {
	h, newer, err := f.peerHead(ctx, m)
	if err != nil || !newer {
		return
	}
	f.followPeer(ctx, offeredHead{head: h, from: m})
}

// askAll asks many peers and follows the highest head, or the next one where
// that can't be pulled.
func (f *Follower) askAll(ctx context.Context) {
	l := f.others()
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	l = l[:min(len(l), startPeers)]
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
		ctx, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
		defer cancel()
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

// pick returns the peer to poll in a round. A watcher polls other domains: the
// platform, which it watches, may be out of its reach but not of theirs.
func (f *Follower) pick(round int) (Member, bool) {
	all := f.others()
	if len(all) == 0 {
		return Member{}, false
	}
	w := f.watchers()
	watcher := !f.options.PeersOnly && slices.Contains(w, f.options.Self)
	some := slices.Clone(all)
	switch {
	case watcher:
		some = slices.DeleteFunc(some, func(m Member) bool { return m.Domain == f.options.Domain })
	case round%farPolls != farPolls-1:
		some = slices.DeleteFunc(some, func(m Member) bool {
			return m.Domain != f.options.Domain || !slices.Contains(w, m.VM)
		})
	}
	if len(some) > 0 {
		all = some
	}
	return all[rand.IntN(len(all))], true
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
