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
	// partWait is how long a relay waits until it has itself read the requested position.
	partWait = 500 * time.Millisecond
	// partIdleTimeout is how long a relay may send nothing before the call fails.
	partIdleTimeout = partWait + 300*time.Millisecond
	// maxPartBytes bounds the uncompressed size of a part.
	maxPartBytes = 64 << 20
)

const partMethod = "Placement.Part"

// A PartArgs requests a part of the store: all entries below a prefix, as read at revision Up of
// the epoch or at a later one.
type PartArgs struct {
	Prefix string
	Epoch  uint64
	Up     uint64
}

// A PartReply is a part of the store as of revision At of an epoch.
type PartReply struct {
	Epoch uint64
	At    uint64
	// Age is the time since the part was read.
	Age time.Duration
	// Entries are encoded with gob and compressed with DEFLATE.
	Entries []byte
}

// A partReading is a part of the store as last read.
type partReading struct {
	entries []ggscore.Entry
	at      ggscore.StorePosition
	read    time.Time
}

// A packer caches the last compressed form of each part, since many VMs request each part.
type packer struct {
	mu     sync.Mutex
	packed map[ggscore.Key]packedPart
}

type packedPart struct {
	at    ggscore.StorePosition
	bytes []byte
}

// pack returns the compressed entries of a part.
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

// remove drops a part from the cache after its entries have changed at the same position.
func (p *packer) remove(prefix ggscore.Key) {
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
		return nil, errors.Wrap(err, "encoding and compressing entries")
	}
	if err := gob.NewEncoder(z).Encode(ws); err != nil {
		return nil, errors.Wrap(err, "encoding and compressing entries")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "encoding and compressing entries")
	}
	return b.Bytes(), nil
}

func unpackEntries(b []byte) ([]ggscore.Entry, error) {
	z := flate.NewReader(bytes.NewReader(b))
	defer func() { _ = z.Close() }()
	var ws []StoredEntry
	if err := gob.NewDecoder(io.LimitReader(z, maxPartBytes)).Decode(&ws); err != nil {
		return nil, errors.Wrap(err, "decompressing and decoding entries")
	}
	es := make([]ggscore.Entry, 0, len(ws))
	for _, w := range ws {
		es = append(es, ggscore.Entry{Key: ggscore.Key(w.Key), Value: w.Value, Revision: ggscore.StoreRevision(w.Revision)})
	}
	return es, nil
}

// Part returns a part of the store. It waits up to partWait until this VM has read the part up
// to the requested position.
func (p *Placement) Part(a *PartArgs, r *PartReply) error {
	prefix := ggscore.Key(a.Prefix)
	ctx, cancel := context.WithTimeout(p.ctx, partWait)
	defer cancel()
	part, err := p.edge.localPart(prefix)
	up := ggscore.StorePosition{Epoch: ggscore.StoreEpoch(a.Epoch), Revision: ggscore.StoreRevision(a.Up)}
	for err == nil && part.at.Before(up) && pause(ctx, listPollInterval) {
		part, err = p.edge.localPart(prefix)
	}
	if err != nil {
		return err
	}
	r.Epoch, r.At, r.Age = uint64(part.at.Epoch), uint64(part.at.Revision), p.edge.Now().Sub(part.read)
	r.Entries, err = p.edge.packer.pack(prefix, part)
	return err
}

// localPart returns a part of the store as this VM last read it, and a *PartNotReadError if
// this VM has not read the part.
func (e *Edge) localPart(prefix ggscore.Key) (partReading, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := partReading{entries: append([]ggscore.Entry(nil), e.entries[prefix]...)}
	switch prefix {
	case e.options.Keys.Operators:
		r.at, r.read = e.operatorsRead, e.operatorsReadTime
	case e.options.Keys.Instances:
		r.at, r.read = e.listProgress.ReadAt(), e.listReadTime
	}
	if r.at.IsZero() {
		return partReading{}, &PartNotReadError{Prefix: prefix}
	}
	return r, nil
}

// isFollower reports whether this VM reads the store through the relays of its domain.
func (e *Edge) isFollower() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	return e.node.UsesRelays() && now.Sub(e.lastSummary) < summaryMaxAge && !e.node.IsRelay(now)
}

// relayControlAddrs returns the addresses for calls of the failure domain's relays.
func (e *Edge) relayControlAddrs() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	var to []netip.AddrPort
	for _, vm := range e.node.Relays(e.Now()) {
		if p := e.peers[vm]; p != nil {
			to = append(to, p.controlAddr)
		}
	}
	return to
}

// readFromRelay returns a part of the store as read by a relay of the failure domain, at least
// up to the position. It tries the relays in an order that depends on this VM's ID.
func (e *Edge) readFromRelay(ctx context.Context, prefix ggscore.Key, up ggscore.StorePosition) (partReading, error) {
	to := e.relayControlAddrs()
	var err error = &PartNotReadError{Prefix: prefix}
	first := int(ggsrelay.Hash(e.options.VM))
	for i := range to {
		addr := to[(first+i)%len(to)]
		var r partReading
		if r, err = e.fetchPart(ctx, addr, prefix, up); err == nil {
			return r, nil
		}
		_ = level.Info(e.Log).Log("event", ggslog.EventPartUnread, "part", prefix, "relay", addr, "want", up, "err", err)
	}
	return partReading{}, err
}

// fetchPart returns a part of the store as read by the VM at an address, at least up to the
// position.
func (e *Edge) fetchPart(ctx context.Context, addr netip.AddrPort, prefix ggscore.Key, up ggscore.StorePosition) (partReading, error) {
	var r PartReply
	err := e.Calls.CallLong(ctx, partIdleTimeout, addr, partMethod, &PartArgs{
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
