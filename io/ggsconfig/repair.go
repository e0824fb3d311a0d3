package ggsconfig

import (
	"context"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
)

// repair writes the head in force back to a platform that was restored from an older
// copy. Entry n holds the platform's lower head.
//
// Without the repair, accepted changes would be lost silently. New changes would be based
// on the older document and get revisions up to the one in force, so every process would
// refuse them. The first change with a higher revision would then be adopted and revert
// all changes that the copy lacks.
//
// The head is written only if it extends the platform's lower head, so that no change
// accepted since the restore is overwritten. The write is a compare-and-swap on the
// entry that was read, so only one watcher's write succeeds.
func (f *Follower) repair(ctx context.Context, n ggscore.Entry) error {
	lower, err := DecodeHead(n.Value)
	if err != nil || f.options.Repair == nil {
		return err
	}
	own := f.Head()
	if !own.Extends(lower) {
		f.countUnrepaired(own, lower)
		return nil
	}
	return f.writeBack(ctx, n, own, "was", uint64(lower.Revision))
}

// replaceUnreadable writes the head in force back over one that can't be read. It would be lost with the last VM that
// remembers it, and operators couldn't change the document meanwhile. A head that only this version of the program can't
// read stays.
func (f *Follower) replaceUnreadable(ctx context.Context, n ggscore.Entry, cause error) error {
	own := f.Head()
	if f.options.Repair == nil || own.Revision == 0 || isNewerHead(n.Value) {
		return cause
	}
	return f.writeBack(ctx, n, own, "err", cause)
}

// recordUnreadable counts and logs a head that can't be read, once.
func (f *Follower) recordUnreadable(n ggscore.Entry, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreadable == n.Revision {
		return
	}
	f.unreadable = n.Revision
	f.state.Unreadable++
	_ = f.options.Logger.Log("event", "headUnreadable", "key", HeadKey, "storeRevision", uint64(n.Revision), "err", err)
}

// writeBack writes the head in force and its sections, unless the entry n has been replaced meanwhile. The reason is a
// key and a value for the log.
func (f *Follower) writeBack(ctx context.Context, n ggscore.Entry, own ggsdocument.Head, reason ...any) error {
	if !wait(ctx, jittered(f.options.PollInterval)) {
		return ctx.Err()
	}
	seen, err := f.getHead(ctx)
	if err != nil || seen.Revision != n.Revision {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(own.Sections)) {
		if err = f.repairSection(ctx, own.Sections[name].Digest); err != nil {
			return err
		}
	}
	err = f.putRepaired(ctx, EncodeHead(own), n.Revision)
	if err == nil {
		_ = f.options.Logger.Log(append([]any{"event", "headRepaired", "revision", uint64(own.Revision)}, reason...)...)
	}
	return ignoreConflict(err)
}

// countUnrepaired counts and logs a head of the platform that is lower than the head in
// force but isn't an earlier state of it. An operator has to resolve this.
func (f *Follower) countUnrepaired(own, lower ggsdocument.Head) {
	f.mu.Lock()
	f.state.Unrepaired++
	f.mu.Unlock()
	_ = f.options.Logger.Log("event", "headNotRepaired", "revision", uint64(own.Revision), "shown", uint64(lower.Revision))
}

// repairSection writes a section's text, even if the store already has it. writeText
// states the reason.
func (f *Follower) repairSection(ctx context.Context, d ggscore.Digest) error {
	t, err := unpack(f.PackedSection(d))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
	defer cancel()
	return writeText(ctx, f.options.Repair, d, t)
}

func (f *Follower) putRepaired(ctx context.Context, head []byte, prev ggscore.StoreRevision) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
	defer cancel()
	_, err := f.options.Repair.Put(ctx, HeadKey, head, prev, 0)
	return errors.Wrap(err, "repairing the head")
}

// repairIfLower repairs the platform if its head was refused as lower.
func (f *Follower) repairIfLower(ctx context.Context, n ggscore.Entry, err error) error {
	var lower *ggsdocument.LowerHeadError
	if !errors.As(err, &lower) {
		return nil
	}
	return f.repair(ctx, n)
}

// ignoreConflict returns nil for a conflict: another watcher repaired the head first.
func ignoreConflict(err error) error {
	var c *ggscore.ConflictError
	if errors.As(err, &c) {
		return nil
	}
	return err
}
