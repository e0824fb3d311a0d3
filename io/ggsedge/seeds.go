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
	// seedInterval is the time between calls to seeds, and the time that the store has to answer
	// after a start before seeds are called.
	seedInterval = 300 * time.Millisecond
	// seedIdleTimeout is how long a seed, which may have failed, may send nothing.
	seedIdleTimeout = 700 * time.Millisecond
)

const entriesMethod = "Placement.Entries"

// An EntriesArgs requests the store's entries as the VM last read them.
type EntriesArgs struct{}

// An EntriesReply has the entries, grouped by the prefixes of their keys.
type EntriesReply struct{ Parts []EntriesPart }

// An EntriesPart has the entries below a prefix.
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

// AnswerBytes returns the memory that the answer to a method of a Placement may take, in bytes.
func (e *Edge) AnswerBytes(method string) int64 {
	if method != entriesMethod && method != partMethod {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, es := range e.entries {
		for k := range es {
			n += len(es[k].Key) + len(es[k].Value)
		}
	}
	return int64(n)
}

// Entries returns the store's entries as this VM last read them.
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
	own := p.edge.ownerRecords()
	for _, n := range p.edge.crashes.Records() {
		own.Entries = append(own.Entries, StoredEntry{Key: string(n.Key), Value: n.Value})
	}
	r.Parts = append(r.Parts, own)
	return nil
}

// ownerRecords returns the ownership records as this VM knows them. A claim of this VM may be
// newer than its last read of the store. Edge.mu is held.
func (e *Edge) ownerRecords() EntriesPart {
	part := EntriesPart{Prefix: string(e.options.Keys.Own)}
	for _, r := range e.ownership.Records() {
		v, err := json.Marshal(&ownerRecord{Owner: string(r.Owner), Released: r.Released, Epoch: uint64(r.Epoch)})
		if err != nil {
			_ = level.Error(e.Log).Log("event", ggslog.EventRecordUnencoded, "err", err)
			continue
		}
		part.Entries = append(part.Entries, StoredEntry{Key: string(e.ownerKey(r.Endpoint)), Value: v, Revision: uint64(r.Revision)})
	}
	return part
}

// querySeeds reads the store's entries from other VMs until this VM has read the store for the
// first time. The entries may be old, and are replaced by the store's own once the store is
// reachable. Without seeds, a VM that restarts while the store is unreachable can't serve
// requests until the end of the outage.
func (e *Edge) querySeeds(ctx context.Context) error {
	for n := 0; pause(ctx, seedInterval); n++ {
		if e.started() || len(e.options.Seeds) == 0 {
			return nil
		}
		if !e.storeUnavailable.Load() {
			continue
		}
		e.querySeed(ctx, n%len(e.options.Seeds))
	}
	return nil
}

// started reports whether the edge has a configuration and a list of endpoints.
func (e *Edge) started() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listed && e.paths.Load() != nil
}

func (e *Edge) querySeed(ctx context.Context, n int) {
	seed := e.options.Seeds[n]
	var r EntriesReply
	err := e.Calls.CallLong(ctx, seedIdleTimeout, seed, entriesMethod, &EntriesArgs{}, &r)
	_ = level.Info(e.Log).Log("event", ggslog.EventSeedAsked, "seed", seed, "parts", len(r.Parts), "err", err)
	if err != nil {
		return
	}
	e.adoptEntries(ctx, &r)
}

// adoptEntries applies a seed's entries.
func (e *Edge) adoptEntries(ctx context.Context, r *EntriesReply) {
	for _, p := range r.Parts {
		es := make([]ggscore.Entry, 0, len(p.Entries))
		for _, s := range p.Entries {
			es = append(es, ggscore.Entry{Key: ggscore.Key(s.Key), Value: s.Value, Revision: ggscore.StoreRevision(s.Revision)})
		}
		e.adoptPart(ctx, ggscore.Key(p.Prefix), es)
	}
}

// adoptPart applies a seed's entries if they weren't read from the store yet.
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

// keepOperators stores operators' entries and replaces those with the same keys.
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
