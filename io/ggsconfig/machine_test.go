package ggsconfig_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggstoml"
)

// An outcome is the result of a change as reported to its operator.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeAccepted
	outcomeRefused
)

// A machine is a set of operators and followers of a faulty platform.
type machine struct {
	store        *faultyStore
	followers    []*ggsdocument.Follower
	next         int
	reported     map[ggsdocument.ChangeID]outcome
	revision     map[ggsdocument.ChangeID]ggscore.Revision
	baseRevision map[ggsdocument.ChangeID]ggscore.Revision
	unknown      []ggsconfig.Edit
	// decoded caches the decoded heads of the store.
	decoded []ggsdocument.Head
}

// Guards against wrong outcomes and decreasing revisions under lost answers, delayed writes,
// concurrent changes and outages. A change reported as accepted must be written exactly once, a
// refused one never. A follower's revision must not decrease, whichever head it is offered.
func TestEditorAndFollowers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			store:        newFaultyStore(),
			reported:     map[ggsdocument.ChangeID]outcome{},
			revision:     map[ggsdocument.ChangeID]ggscore.Revision{},
			baseRevision: map[ggsdocument.ChangeID]ggscore.Revision{},
		}
		for range 3 {
			m.followers = append(m.followers, ggsdocument.NewFollower(ggstoml.Codec{}))
		}
		m.apply(t, m.store, "services", []byte(servicesText), 0)
		t.Repeat(map[string]func(*rapid.T){
			"apply":          m.applyAny,
			"applyAgain":     m.applyAgain,
			"releaseDelayed": func(*rapid.T) { m.store.releaseDelayed() },
			"fromPlatform":   m.fromPlatform,
			"fromPeer":       m.fromPeer,
			"fromOldCopy":    m.fromOldCopy,
			"":               m.check,
		})
		m.store.releaseDelayed()
		m.check(t)
	})
}

// apply applies a change and records the outcome reported to the operator.
func (m *machine) apply(
	t *rapid.T, s ggsconfig.EditorStore, n ggscore.SectionName, text []byte, baseRevision ggscore.Revision,
) {
	m.next++
	m.applyEdit(t, s, edit(n, text, baseRevision, fmt.Sprint("c", m.next)))
}

func (m *machine) applyEdit(t *rapid.T, s ggsconfig.EditorStore, d ggsconfig.Edit) {
	m.baseRevision[d.ID] = d.BaseRevision
	a, err := newEditor(s).Apply(context.Background(), d)
	var unknown *ggsconfig.UnknownOutcomeError
	switch {
	case err == nil && a.Unchanged:
		m.reported[d.ID] = outcomeRefused // no revision has its ID
	case err == nil:
		m.reported[d.ID], m.revision[d.ID] = outcomeAccepted, a.Revision
	case errors.As(err, &unknown):
		m.reported[d.ID] = outcomeUnknown
		m.unknown = append(m.unknown, d)
	default:
		m.reported[d.ID] = outcomeRefused
	}
	t.Logf("%s on %s read at %d: %+v, %v", d.ID, d.Section, d.BaseRevision, a, err)
}

// applyAgain repeats a change of unknown outcome with the same ID.
func (m *machine) applyAgain(t *rapid.T) {
	if len(m.unknown) == 0 {
		t.Skip("no unknown outcome")
	}
	d := m.unknown[0]
	m.unknown = m.unknown[1:]
	d.Repeated = true
	m.applyEdit(t, m.store, d)
}

// applyAny applies a change under random faults.
func (m *machine) applyAny(t *rapid.T) {
	n := rapid.SampledFrom([]ggscore.SectionName{"market/cr", "market/wa", "services"}).Draw(t, "section")
	baseRevision := m.lastHead(t).Revision
	if rapid.Bool().Draw(t, "stale") && baseRevision > 0 {
		baseRevision = ggscore.Revision(rapid.Uint64Range(0, uint64(baseRevision)).Draw(t, "readAt"))
	}
	m.store.loseAnswers = rapid.IntRange(0, 2).Draw(t, "lose")
	m.store.delayWrites = rapid.IntRange(0, 2).Draw(t, "delay")
	m.store.failWrites = rapid.IntRange(0, 1).Draw(t, "fail")
	s := &interleaved{faultyStore: m.store}
	after := rapid.SampledFrom([]string{"nothing", "releaseDelayed", "other", "unavailable"}).Draw(t, "afterLost")
	s.afterLost = func() {
		switch after {
		case "releaseDelayed":
			m.store.releaseDelayed()
		case "other":
			m.other(t)
		case "unavailable":
			m.store.setUnavailable(true)
		}
	}
	if rapid.Bool().Draw(t, "race") {
		m.store.beforePut = func() { m.other(t) }
	}
	m.apply(t, s, n, m.text(t, n), baseRevision)
	m.store.beforePut = nil
	m.store.loseAnswers, m.store.delayWrites, m.store.failWrites = 0, 0, 0
	m.store.setUnavailable(false)
}

// other applies a change by another operator, with the store's fault injection off.
func (m *machine) other(t *rapid.T) {
	lose, delay, fail := m.store.loseAnswers, m.store.delayWrites, m.store.failWrites
	m.store.loseAnswers, m.store.delayWrites, m.store.failWrites = 0, 0, 0
	n := rapid.SampledFrom([]ggscore.SectionName{"market/cr", "market/wa"}).Draw(t, "other")
	m.apply(t, m.store, n, m.text(t, n), m.lastHead(t).Revision)
	m.store.loseAnswers, m.store.delayWrites, m.store.failWrites = lose, delay, fail
}

// check compares the reported outcomes with every head ever written.
func (m *machine) check(t *rapid.T) {
	written := map[ggsdocument.ChangeID]ggscore.Revision{}
	changed := map[ggscore.SectionName]ggscore.Revision{}
	for i, h := range m.heads(t) {
		if h.Revision != ggscore.Revision(i+1) {
			t.Fatalf("head %d has revision %d", i+1, h.Revision)
		}
		last := h.Changes[len(h.Changes)-1]
		id := last.ID
		if changed[last.Section] > m.baseRevision[id] {
			t.Fatalf("change %s, based on revision %d, replaced %s of revision %d", id, m.baseRevision[id], last.Section, changed[last.Section])
		}
		changed[last.Section] = h.Revision
		if r, found := written[id]; found {
			t.Fatalf("change %s produced revisions %d and %d", id, r, h.Revision)
		}
		written[id] = h.Revision
	}
	for id, o := range m.reported {
		r, found := written[id]
		if o == outcomeAccepted && (!found || r != m.revision[id]) {
			t.Fatalf("change %s was reported accepted at revision %d, but produced %d", id, m.revision[id], r)
		}
		if o == outcomeRefused && found {
			t.Fatalf("change %s was reported refused, but produced revision %d", id, r)
		}
	}
}

// heads returns every head ever written, in order.
func (m *machine) heads(t *rapid.T) []ggsdocument.Head {
	for _, b := range m.store.heads[len(m.decoded):] {
		h, err := ggsconfig.DecodeHead(b)
		if err != nil {
			t.Fatal(err)
		}
		m.decoded = append(m.decoded, h)
	}
	return m.decoded
}

func (m *machine) fromOldCopy(t *rapid.T) {
	if len(m.store.heads) == 0 {
		t.Skip("no head")
	}
	i := rapid.IntRange(0, len(m.store.heads)-1).Draw(t, "old")
	m.offer(t, m.follower(t), m.heads(t)[i])
}

func (m *machine) fromPeer(t *rapid.T) {
	m.offer(t, m.follower(t), m.follower(t).Head())
}

func (m *machine) fromPlatform(t *rapid.T) {
	f, h := m.follower(t), m.lastHead(t)
	m.offer(t, f, h)
	if f.Head().Revision != h.Revision {
		t.Fatalf("revision %d is in force after revision %d of the platform was offered", f.Head().Revision, h.Revision)
	}
}

func (m *machine) follower(t *rapid.T) *ggsdocument.Follower {
	return rapid.SampledFrom(m.followers).Draw(t, "follower")
}

func (m *machine) lastHead(t *rapid.T) ggsdocument.Head {
	if len(m.store.heads) == 0 {
		return ggsdocument.Head{}
	}
	return m.heads(t)[len(m.store.heads)-1]
}

// offer offers a head and checks that the follower's revision doesn't decrease.
func (m *machine) offer(t *rapid.T, f *ggsdocument.Follower, h ggsdocument.Head) {
	before := f.Head().Revision
	_, err := f.Offer(h)
	var lower *ggsdocument.LowerHeadError
	if err != nil && !errors.As(err, &lower) {
		t.Fatal(err)
	}
	for _, d := range f.Missing() {
		e, _ := m.store.Get(context.Background(), ggsconfig.SectionKey(d))
		if _, err = f.Deliver(d, e.Value); err != nil {
			t.Fatal(err)
		}
	}
	after := f.Head().Revision
	if after < before || after != max(before, h.Revision) {
		t.Fatalf("follower changed from revision %d to %d when %d was offered", before, after, h.Revision)
	}
	if d := f.Current(); d != nil && d.Revision != after {
		t.Fatalf("document has revision %d, its head %d", d.Revision, after)
	}
}

// text returns one of a few texts. Some texts of different sections are invalid together.
func (m *machine) text(t *rapid.T, n ggscore.SectionName) []byte {
	if n == "services" {
		more := "\n[[services]]\nname = \"resumen\"\nbaseModel = \"base-8b\"\nslots = 1\nadapterSlots = 1\n"
		return []byte(servicesText + rapid.SampledFrom([]string{"", more, more + "# again\n"}).Draw(t, "services"))
	}
	v := rapid.SampledFrom([]string{"v2", "v3", "v4"}).Draw(t, "version")
	u := rapid.SampledFrom([][]string{{"asistente"}, {"asistente", "resumen"}}).Draw(t, "uses")
	return marketText(v, u...)
}
