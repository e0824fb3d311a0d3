package ggsedge

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/gob"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsrelay"
	"greengageslip/io/ggslog"
)

const (
	// partWait is how long a relay waits for its own reading of what it is asked for.
	partWait = 500 * time.Millisecond
	// partSilence is how long a relay may send nothing.
	partSilence = partWait + 300*time.Millisecond
	// partBytes bounds a part when it is unpacked.
	partBytes = 64 << 20
)

const partMethod = "Placement.Part"

// A PartArgs asks for a part of the store that was read up to a revision of an epoch.
type PartArgs struct {
	Prefix string
	Epoch  uint64
	Up     uint64
}

// A PartReply has a part of the store as of a revision of an epoch.
type PartReply struct {
	Epoch uint64
	At    uint64
	// Age is the time since it was read.
	Age time.Duration
	// Entries are packed.
	Entries []byte
}

// A partReading is a part of the store as this VM last read it.
type partReading struct {
	entries []ggscore.Entry
	at      ggscore.StorePosition
	read    time.Time
}

// A packer keeps the parts that it packed last: many VMs ask for each.
type packer struct {
	mu     sync.Mutex
	packed map[ggscore.Key]packedPart
}

type packedPart struct {
	at    ggscore.StorePosition
	bytes []byte
}

// pack returns the packed entries of a part.
func (p *packer) pack(prefix ggscore.Key, r partReading) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k, ok := p.packed[prefix]; ok && k.at == r.at {
		return k.bytes, nil
	}
	b, err := packEntries(r.entries)
	if err != nil {
		return nil, err
	}
	if p.packed == nil {
		p.packed = map[ggscore.Key]packedPart{}
	}
	p.packed[prefix] = packedPart{at: r.at, bytes: b}
	return b, nil
}

// forget has a part packed anew: its entries have changed at the same position.
func (p *packer) forget(prefix ggscore.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.packed, prefix)
}

func packEntries(es []ggscore.Entry) ([]byte, error) {
	ws := make([]StoredEntry, 0, len(es))
	for _, n := range es {
		ws = append(ws, StoredEntry{Key: string(n.Key), Value: n.Value, Revision: uint64(n.Revision)})
	}
	var b bytes.Buffer
	z, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "packing entries")
	}
	if err := gob.NewEncoder(z).Encode(ws); err != nil {
		return nil, errors.Wrap(err, "packing entries")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "packing entries")
	}
	return b.Bytes(), nil
}

func unpackEntries(b []byte) ([]ggscore.Entry, error) {
	z := flate.NewReader(bytes.NewReader(b))
	defer func() { _ = z.Close() }()
	var ws []StoredEntry
	if err := gob.NewDecoder(io.LimitReader(z, partBytes)).Decode(&ws); err != nil {
		return nil, errors.Wrap(err, "unpacking entries")
	}
	es := make([]ggscore.Entry, 0, len(ws))
	for _, w := range ws {
		es = append(es, ggscore.Entry{Key: ggscore.Key(w.Key), Value: w.Value, Revision: ggscore.StoreRevision(w.Revision)})
	}
	return es, nil
}

// Part answers with a part of the store, once this VM has read it so far or partWait has
// passed.
func (p *Placement) Part(a *PartArgs, r *PartReply) error {
	prefix := ggscore.Key(a.Prefix)
	ctx, cancel := context.WithTimeout(p.ctx, partWait)
	defer cancel()
	part, err := p.edge.part(prefix)
	up := ggscore.StorePosition{Epoch: ggscore.StoreEpoch(a.Epoch), Revision: ggscore.StoreRevision(a.Up)}
	for err == nil && part.at.Before(up) && pause(ctx, listTick) {
		part, err = p.edge.part(prefix)
	}
	if err != nil {
		return err
	}
	r.Epoch, r.At, r.Age = uint64(part.at.Epoch), uint64(part.at.Revision), p.edge.Now().Sub(part.read)
	r.Entries, err = p.edge.packer.pack(prefix, part)
	return err
}

// part returns a part of the store as this VM last read it.
func (e *Edge) part(prefix ggscore.Key) (partReading, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := partReading{entries: append([]ggscore.Entry(nil), e.entries[prefix]...)}
	switch prefix {
	case e.options.Keys.Operators:
		r.at, r.read = e.operatorsRead, e.operatorsReadTime
	case e.options.Keys.Instances:
		r.at, r.read = e.listRead, e.listReadTime
	}
	if r.at.IsZero() {
		return partReading{}, &PartUnknownError{Prefix: prefix}
	}
	return r, nil
}

// follows reports whether this VM leaves it to the relays of its domain to read the store.
func (e *Edge) follows() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	return e.node.UsesRelays() && now.Sub(e.summarized) < summaryAge && !e.node.IsRelay(now)
}

// relayCalls returns where the relays of the domain take calls.
func (e *Edge) relayCalls() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	var to []netip.AddrPort
	for _, vm := range e.node.Relays(e.Now()) {
		if p := e.peers[vm]; p != nil {
			to = append(to, p.calls)
		}
	}
	return to
}

// fromRelay returns a part of the store as a relay of the domain read it, up to the
// position at least.
func (e *Edge) fromRelay(ctx context.Context, prefix ggscore.Key, up ggscore.StorePosition) (partReading, error) {
	to := e.relayCalls()
	var err error = &PartUnknownError{Prefix: prefix}
	first := int(ggsrelay.Hash(e.options.VM))
	for i := range to {
		addr := to[(first+i)%len(to)]
		var r partReading
		if r, err = e.partOf(ctx, addr, prefix, up); err == nil {
			return r, nil
		}
		_ = level.Info(e.Log).Log("event", ggslog.EventPartUnread, "part", prefix, "relay", addr, "want", up, "err", err)
	}
	return partReading{}, err
}

// partOf returns a part of the store as the VM at an address read it, up to the position at
// least.
func (e *Edge) partOf(ctx context.Context, addr netip.AddrPort, prefix ggscore.Key, up ggscore.StorePosition) (partReading, error) {
	var r PartReply
	err := e.Calls.CallLong(ctx, partSilence, addr, partMethod, &PartArgs{
		Prefix: string(prefix), Epoch: uint64(up.Epoch), Up: uint64(up.Revision),
	}, &r)
	if err != nil {
		return partReading{}, err
	}
	at := ggscore.StorePosition{Epoch: ggscore.StoreEpoch(r.Epoch), Revision: ggscore.StoreRevision(r.At)}
	if at.Before(up) {
		return partReading{}, &PartBehindError{Prefix: prefix, At: at, Want: up}
	}
	es, err := unpackEntries(r.Entries)
	if err != nil {
		return partReading{}, err
	}
	return partReading{entries: es, at: at, read: e.Now().Add(-r.Age)}, nil
}
