package ggsedge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/io/ggslog"
)

const (
	// seedPause is the pause between questions to seeds, and the time that the
	// store has at a start before they are asked.
	seedPause = 300 * time.Millisecond
	// seedSilence is how long a seed, which may be gone, may send nothing.
	seedSilence = 700 * time.Millisecond
)

const entriesMethod = "Placement.Entries"

// An EntriesArgs asks for the store's entries as the VM last read them.
type EntriesArgs struct{}

// An EntriesReply has the entries by the prefix of their keys.
type EntriesReply struct{ Parts []EntriesPart }

// An EntriesPart is the entries below a prefix.
type EntriesPart struct {
	Prefix  string
	Entries []StoredEntry
}

// A StoredEntry is an entry of the store.
type StoredEntry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Entries answers with the store's entries as this VM last read them.
func (p *Placement) Entries(_ *EntriesArgs, r *EntriesReply) error {
	p.edge.mu.Lock()
	defer p.edge.mu.Unlock()
	for prefix, es := range p.edge.entries {
		part := EntriesPart{Prefix: string(prefix)}
		for _, n := range es {
			part.Entries = append(part.Entries, StoredEntry{Key: string(n.Key), Value: n.Value, Revision: uint64(n.Revision)})
		}
		r.Parts = append(r.Parts, part)
	}
	r.Parts = append(r.Parts, p.edge.ordererPart())
	return nil
}

// ordererPart returns who gives endpoints orders, as this VM knows it: a claim of
// its own may be newer than its last reading. Edge.mu is held.
func (e *Edge) ordererPart() EntriesPart {
	part := EntriesPart{Prefix: string(e.options.Keys.Own)}
	for _, r := range e.keeper.Records() {
		v, err := json.Marshal(&ordererRecord{Owner: string(r.Owner), Released: r.Released, Epoch: uint64(r.Epoch)})
		if err != nil {
			_ = level.Error(e.Log).Log("event", ggslog.EventRecordUnencoded, "err", err)
			continue
		}
		part.Entries = append(part.Entries, StoredEntry{Key: string(e.ordererKey(r.Endpoint)), Value: v, Revision: uint64(r.Revision)})
	}
	return part
}

// askSeeds asks other VMs for what this one goes by, as long as the store hasn't
// told it since the start. What they know may be old, and is replaced by the
// store's word when it comes; without it a VM that was restarted while the store
// is away serves nobody until its return.
func (e *Edge) askSeeds(ctx context.Context) error {
	for n := 0; pause(ctx, seedPause); n++ {
		if e.started() || len(e.options.Seeds) == 0 {
			return nil
		}
		if !e.storeAway.Load() {
			continue
		}
		e.askSeed(ctx, n%len(e.options.Seeds))
	}
	return nil
}

// started reports whether the edge has a configuration and a list of endpoints.
func (e *Edge) started() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listed && e.paths.Load() != nil
}

func (e *Edge) askSeed(ctx context.Context, n int) {
	seed := e.options.Seeds[n]
	var r EntriesReply
	err := e.Calls.CallLong(ctx, seedSilence, seed, entriesMethod, &EntriesArgs{}, &r)
	_ = level.Info(e.Log).Log("event", ggslog.EventSeedAsked, "seed", seed, "parts", len(r.Parts), "err", err)
	if err != nil {
		return
	}
	for _, p := range r.Parts {
		es := make([]ggscore.Entry, 0, len(p.Entries))
		for _, s := range p.Entries {
			es = append(es, ggscore.Entry{Key: ggscore.Key(s.Key), Value: s.Value, Revision: ggscore.StoreRevision(s.Revision)})
		}
		e.adoptPart(ctx, ggscore.Key(p.Prefix), es)
	}
}

// adoptPart takes a seed's entries where the store hasn't told its own.
func (e *Edge) adoptPart(ctx context.Context, prefix ggscore.Key, es []ggscore.Entry) {
	switch prefix {
	case e.options.Keys.Operators:
		e.adoptOperators(es)
	case e.options.Keys.Instances:
		if !e.started() {
			e.setInstances(ctx, partReading{entries: es})
		}
	case e.options.Keys.Own:
		e.setMembers(ctx, es, ggscore.StorePosition{})
	}
}

// keepOperators keeps operators' entries in place of those of the same keys.
func (e *Edge) keepOperators(es []ggscore.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := e.options.Keys.Operators
	kept := e.entries[k]
	for _, n := range es {
		i := 0
		for i < len(kept) && kept[i].Key != n.Key {
			i++
		}
		switch {
		case i == len(kept):
			kept = append(kept, n)
		default:
			kept[i] = n
		}
	}
	e.entries[k] = kept
}
