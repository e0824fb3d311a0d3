package ggsconfig

import (
	"context"
	"slices"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
)

// platformName names the platform as a source.
const platformName = "platform"

// watch watches the platform while this VM is one of its domain's watchers.
func (f *Follower) watch(ctx context.Context) {
	p := newPauser(f.options.PollInterval / 2)
	for ctx.Err() == nil {
		if !f.isWatcher() {
			f.setWatching(false, nil)
			wait(ctx, jittered(f.options.PollInterval))
			continue
		}
		err := f.watchOnce(ctx, p)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.setWatching(false, err)
			p.pause(ctx)
		}
	}
}

// watchOnce reads the head and then waits for changes until none came in a
// whole wait, a call fails or this VM is no longer a watcher. The head is thus
// read again after each quiet wait: a service that was restored from an older
// copy may have counted past the watch's revision by then, and the watch alone
// would show nothing.
func (f *Follower) watchOnce(ctx context.Context, p *pauser) error {
	n, err := f.getHead(ctx)
	if err != nil {
		return err
	}
	if err = f.followEntry(ctx, n); err != nil {
		return err
	}
	p.reset()
	f.setWatching(true, nil)
	after := n.Revision
	for f.isWatcher() {
		l, r, err := f.waitForChange(ctx, after)
		if err != nil {
			return err
		}
		// A service that was restored from an older copy counts from an earlier
		// revision. A watch from the later one would miss all changes until the
		// service has caught up, so the watch begins anew.
		if r < after {
			return &StoreWentBackError{Seen: after, Have: r}
		}
		for _, n := range l {
			if err = f.followEntry(ctx, n); err != nil {
				return err
			}
		}
		if len(l) == 0 {
			return nil
		}
		after = r
	}
	return nil
}

// followEntry takes the head from its entry; a missing one is the head of an
// empty document. A head that is refused is no failure of the platform: the
// refusal is counted and logged, and the watch goes on.
func (f *Follower) followEntry(ctx context.Context, n ggscore.Entry) error {
	if n.Key != HeadKey {
		return nil
	}
	h, err := DecodeHead(n.Value)
	if err != nil {
		return err
	}
	s := source{name: platformName, section: func(ctx context.Context, d ggscore.Digest) ([]byte, error) {
		return readText(ctx, f.options.Store, d)
	}}
	if err = f.follow(ctx, h, s); isRefusal(err) {
		return f.repairIfLower(ctx, n, err)
	}
	return err
}

func (f *Follower) getHead(ctx context.Context) (ggscore.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
	defer cancel()
	return f.options.Store.Get(ctx, HeadKey)
}

// isWatcher reports whether this VM is to watch the platform now.
func (f *Follower) isWatcher() bool {
	if f.options.Store == nil || f.options.PeersOnly {
		return false
	}
	return slices.Contains(f.watchers(), f.options.Self)
}

// setWatching notes for dumps how the watch stands.
func (f *Follower) setWatching(watching bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	away := err != nil
	if away != f.state.PlatformAway {
		event := "platformReached"
		if away {
			event = "platformLost"
		}
		_ = f.options.Logger.Log("event", event, "err", err)
	}
	f.state.Watching, f.state.PlatformAway = watching, away
}

func (f *Follower) waitForChange(
	ctx context.Context, after ggscore.StoreRevision,
) ([]ggscore.Entry, ggscore.StoreRevision, error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.WatchWait+f.options.CallTimeout)
	defer cancel()
	return f.options.Store.Watch(ctx, HeadKey, after, f.options.WatchWait)
}

// watchers returns the watchers of this VM's domain.
func (f *Follower) watchers() []ggscore.VMID {
	var l []ggscore.VMID
	if !f.options.PeersOnly {
		l = append(l, f.options.Self)
	}
	for _, m := range f.options.Members.Members() {
		if m.Domain == f.options.Domain {
			l = append(l, m.VM)
		}
	}
	return ggsdocument.Watchers(f.options.Domain, l, f.options.Watchers)
}
