package ggsedge

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/io/ggslog"
)

// newerGrace is how long this VM waits for the store to return a peer's newer entries before
// it reads them from the peer.
const newerGrace = time.Second

// A newerEntries records that a peer uses newer operators' entries than this VM, although this
// VM has read the store as far as the peer.
type newerEntries struct {
	// by is the VM that uses the newer entries, or fleet if a summary reported them.
	by ggscore.VMID
	// since is when this was first observed, zero for never.
	since time.Time
}

// recordNewer compares a peer's entries in use with those of this VM. Edge.mu is held.
func (e *Edge) recordNewer(now time.Time, vm ggscore.VMID, n ggscore.StoreProgress) {
	switch {
	case n.Config <= e.configVersion() && n.Versions <= e.versionSum:
		if vm == e.newer.by {
			e.newer = newerEntries{}
		}
	case e.operatorsRead.IsZero() || e.operatorsRead.Before(n.OperatorsAt):
		// The store has the newer entries.
	case e.newer.since.IsZero():
		e.newer = newerEntries{by: vm, since: now}
	}
}

// fetchNewer reads from peers the operators' entries that the store lost when it was restored
// from an older copy. Otherwise a VM that starts after the restore would use older entries than
// its peers.
func (e *Edge) fetchNewer(ctx context.Context) error {
	for pause(ctx, seedInterval) {
		e.mu.Lock()
		n, now := e.newer, e.Now()
		var to []netip.AddrPort
		if p := e.peers[n.by]; p != nil {
			to = append(to, p.controlAddr)
		}
		e.mu.Unlock()
		if n.since.IsZero() || now.Sub(n.since) < newerGrace {
			continue
		}
		if n.by == fleet {
			to = e.relayControlAddrs()
		}
		e.fetchFrom(ctx, to)
		e.mu.Lock()
		e.newer = newerEntries{}
		e.mu.Unlock()
	}
	return nil
}

// fetchFrom applies the operators' entries of the first VM that answers.
func (e *Edge) fetchFrom(ctx context.Context, to []netip.AddrPort) {
	for _, addr := range to {
		r, err := e.fetchPart(ctx, addr, e.options.Keys.Operators, ggscore.StorePosition{})
		_ = level.Info(e.Log).Log("event", ggslog.EventNewerEntriesRead, "peer", addr, "entries", len(r.entries), "err", err)
		if err == nil {
			e.adoptOperators(r.entries)
			e.packer.remove(e.options.Keys.Operators)
			return
		}
	}
}
