package ggsconfig

import (
	"context"
	"slices"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
)

// platformName is the name of the platform in FollowerState.From and in log lines.
const platformName = "platform"

// watch watches the platform while this VM is one of its domain's watchers.
func (f *Follower) watch(ctx context.Context) {
	b := newRetryBackoff(f.options.PollInterval / 2)
	for ctx.Err() == nil {
		if !f.isWatcher() {
			f.setWatching(false, nil)
			wait(ctx, jittered(f.options.PollInterval))
			continue
		}
		err := f.watchOnce(ctx, b)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.setWatching(false, err)
			b.waitNext(ctx)
		}
	}
}

// watchOnce reads the head, then watches for changes until a watch call returns no
// change, a call fails or this VM is no longer a watcher. The caller then calls watchOnce
// again, so the head is read again after each watch call without a change. A service that
// was restored from an older copy may have exceeded the watch's store revision by then,
// and the watch alone wouldn't detect the restore.
func (f *Follower) watchOnce(ctx context.Context, b *retryBackoff) error {
	n, err := f.getHead(ctx)
	if err != nil {
		return err
	}
	if err = f.followEntry(ctx, n); err != nil {
		return err
	}
	b.reset()
	f.setWatching(true, nil)
	after := n.Revision
	for f.isWatcher() {
		l, r, err := f.waitForChange(ctx, after)
		if err != nil {
			return err
		}
		// A service that was restored from an older copy continues at a lower store
		// revision. A watch from the higher one would miss all changes up to that
		// revision, so the watch starts again from the head.
		if r < after {
			return &StoreRevisionDecreasedError{Seen: after, Have: r}
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

// followEntry decodes and follows the head in an entry. A missing entry is the head of an
// empty document. A refused head isn't a failure of the platform: the refusal is counted
// and logged, and the watch continues.
func (f *Follower) followEntry(ctx context.Context, n ggscore.Entry) error {
	if n.Key != HeadKey {
		return nil
	}
	h, err := DecodeHead(n.Value)
	if err != nil {
		f.recordUnreadable(n, err)
		return f.replaceUnreadable(ctx, n, err)
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

// isWatcher reports whether this VM is currently a watcher of its domain.
func (f *Follower) isWatcher() bool {
	if f.options.Store == nil || f.options.PeersOnly {
		return false
	}
	return slices.Contains(f.watchers(), f.options.Self)
}

// setWatching records the state of the watch and logs changes of the platform's
// availability.
func (f *Follower) setWatching(watching bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	unavailable := err != nil
	if unavailable != f.state.PlatformUnavailable {
		event := "platformReached"
		if unavailable {
			event = "platformLost"
		}
		_ = f.options.Logger.Log("event", event, "err", err)
	}
	f.state.Watching, f.state.PlatformUnavailable = watching, unavailable
}

func (f *Follower) waitForChange(
	ctx context.Context, after ggscore.StoreRevision,
) ([]ggscore.Entry, ggscore.StoreRevision, error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.WatchTimeout+f.options.CallTimeout)
	defer cancel()
	return f.options.Store.Watch(ctx, HeadKey, after, f.options.WatchTimeout)
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
