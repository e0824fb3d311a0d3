package ggsconfig

import (
	"context"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
)

// repair writes the head in force back to a platform that was restored from an
// older copy. The entry holds the lower head that it shows.
//
// It guards against changes that are lost without a word: the next changes
// would be made on the older document and get revisions that the processes have
// passed; these would refuse them, until one passes theirs and takes back all
// that the copy lacks. The head is written only where it is known to continue
// the lower one, so that no change made since the restore is overwritten, and
// by compare-and-swap on what was seen, so that one watcher writes it.
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
		_ = f.options.Logger.Log("event", "headRepaired", "revision", uint64(own.Revision), "was", uint64(lower.Revision))
	}
	return ignoreConflict(err)
}

// countUnrepaired notes that operators have to look: the platform shows a head
// that is lower than the one in force but no earlier state of it.
func (f *Follower) countUnrepaired(own, lower ggsdocument.Head) {
	f.mu.Lock()
	f.state.Unrepaired++
	f.mu.Unlock()
	_ = f.options.Logger.Log("event", "headNotRepaired", "revision", uint64(own.Revision), "shown", uint64(lower.Revision))
}

// repairSection writes a section's text. It is written also where it is there,
// as writeText says.
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

// repairIfLower repairs the platform where a head was refused as lower.
func (f *Follower) repairIfLower(ctx context.Context, n ggscore.Entry, err error) error {
	var lower *ggsdocument.LowerHeadError
	if !errors.As(err, &lower) {
		return nil
	}
	return f.repair(ctx, n)
}

// ignoreConflict drops a conflict: another watcher was faster.
func ignoreConflict(err error) error {
	var c *ggscore.ConflictError
	if errors.As(err, &c) {
		return nil
	}
	return err
}
