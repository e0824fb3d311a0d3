package ggsconfig

import (
	"context"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
)

// writeText writes a section's text, even if the store already has it. The key is the
// text's digest, so an existing entry holds the same text.
//
// The rewrite guards against a concurrent deletion. An editor whose change leaves a text
// unused deletes that text (the deleter). Another editor may be about to use the same
// text again (the writer), and its head would refer to a deleted section.
//
// The writer reads the head, writes the text, then swaps the head. The deleter reads the
// text's store revision, swaps the head, then deletes the text at that store revision.
// If the deleter's swap falls between the writer's read and swap of the head, the
// writer's swap fails and its next attempt writes the text again. If the deleter's swap
// comes before the writer's read of the head, the writer's text is written after the
// deleter read the store revision. The deletion then either fails because the store
// revision has changed, or precedes the write.
func writeText(ctx context.Context, s EditorStore, d ggscore.Digest, text []byte) error {
	_, err := s.Put(ctx, SectionKey(d), text, 0, 0)
	var exists *ggscore.ConflictError
	if errors.As(err, &exists) {
		_, err = s.Put(ctx, SectionKey(d), text, exists.Have, 0)
	}
	return errors.Wrap(err, "writing a section's text")
}

func readText(ctx context.Context, s ggscore.Reader, d ggscore.Digest) ([]byte, error) {
	n, err := s.Get(ctx, SectionKey(d))
	if err != nil {
		return nil, errors.Wrap(err, "reading a section's text")
	}
	if n.Revision == 0 {
		return nil, &MissingSectionError{Digest: d}
	}
	if have := ggsdocument.DigestOf(n.Value); have != d {
		return nil, &ggsdocument.DigestError{Want: d, Have: have}
	}
	return n.Value, nil
}

// readUnused reads the entries of texts that the next head doesn't use. A text that
// can't be read is skipped and stays in the store.
func (e *Editor) readUnused(ctx context.Context, l []ggscore.Digest) []ggscore.Entry {
	entries := make([]ggscore.Entry, 0, len(l))
	for _, d := range l {
		n, err := e.store.Get(ctx, SectionKey(d))
		if err == nil && n.Revision > 0 {
			n.Key = SectionKey(d)
			entries = append(entries, n)
		}
	}
	return entries
}

// deleteUnused deletes texts that the head doesn't use, at the store revisions that were
// read before the head was swapped. A failure leaves an unused text, which is harmless.
func (e *Editor) deleteUnused(ctx context.Context, l []ggscore.Entry) {
	for _, n := range l {
		_ = e.store.Delete(ctx, n.Key, n.Revision)
	}
}
