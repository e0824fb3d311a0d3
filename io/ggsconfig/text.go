package ggsconfig

import (
	"context"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
)

// writeText writes a section's text, also where it is there already: its key is
// its digest, so whoever wrote it before wrote the same text.
//
// Writing it again guards against its deletion. A text that no head needs is
// deleted by the editor whose change dropped it; another editor may be about
// to use the same text again, and would leave a head whose section is missing.
// An editor writes the text between reading the head and swapping it, and a
// deleter reads the text's revision, then swaps the head, then deletes at that
// revision. If the deleter's swap falls between the other's reading and
// swapping, that swap fails and the text is written anew; if it falls before,
// the text was written after its revision was read, or the head that was read
// shows the deleter's swap; in both cases the deletion at the earlier revision
// fails or is followed by the write.
func writeText(ctx context.Context, s EditorStore, d ggscore.Digest, text []byte) error {
	_, err := s.Put(ctx, SectionKey(d), text, 0, 0)
	var exists *ggscore.ConflictError
	if errors.As(err, &exists) {
		_, err = s.Put(ctx, SectionKey(d), text, exists.Have, 0)
	}
	return errors.Wrap(err, "writing a section")
}

func readText(ctx context.Context, s ggscore.Reader, d ggscore.Digest) ([]byte, error) {
	n, err := s.Get(ctx, SectionKey(d))
	if err != nil {
		return nil, errors.Wrap(err, "reading a section")
	}
	if n.Revision == 0 {
		return nil, &MissingSectionError{Digest: d}
	}
	if have := ggsdocument.DigestOf(n.Value); have != d {
		return nil, &ggsdocument.DigestError{Want: d, Have: have}
	}
	return n.Value, nil
}

// readDropped reads the entries of texts that the next head drops. What can't
// be read stays.
func (e *Editor) readDropped(ctx context.Context, l []ggscore.Digest) []ggscore.Entry {
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

// deleteDropped deletes the texts that the head dropped, at the revisions that
// were read before it. A failure leaves a text behind, which does no harm.
func (e *Editor) deleteDropped(ctx context.Context, l []ggscore.Entry) {
	for _, n := range l {
		_ = e.store.Delete(ctx, n.Key, n.Revision)
	}
}
