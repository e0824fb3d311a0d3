package ggsedge

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/io/ggslog"
)

// newerGrace is the time that the store has to give what a peer has in force, before the peer
// is asked for it.
const newerGrace = time.Second

// A newerEntries is what peers have in force that is newer than this VM's, though it has read
// the store as far as they have.
type newerEntries struct {
	// by is the VM that has it, fleet where relays know.
	by ggscore.VMID
	// since is when this was noticed, zero for nothing newer.
	since time.Time
}

// noteNewer notes what a peer has in force. Edge.mu is held.
func (e *Edge) noteNewer(now time.Time, vm ggscore.VMID, n ggscore.StoreProgress) {
	switch {
	case n.Config <= e.configVersion() && n.Versions <= e.versionSum:
		if vm == e.newer.by {
			e.newer = newerEntries{}
		}
	case e.operatorsRead.IsZero() || e.operatorsRead.Before(n.OperatedAt):
		// The store has it.
	case e.newer.since.IsZero():
		e.newer = newerEntries{by: vm, since: now}
	}
}

// fetchNewer asks peers for the operators' entries that the store has lost: a VM that starts on
// an older copy of the store would go by older ones.
func (e *Edge) fetchNewer(ctx context.Context) error {
	for pause(ctx, seedPause) {
		e.mu.Lock()
		n, now := e.newer, e.Now()
		var to []netip.AddrPort
		if p := e.peers[n.by]; p != nil {
			to = append(to, p.calls)
		}
		e.mu.Unlock()
		if n.since.IsZero() || now.Sub(n.since) < newerGrace {
			continue
		}
		if n.by == fleet {
			to = e.relayCalls()
		}
		e.fetchFrom(ctx, to)
		e.mu.Lock()
		e.newer = newerEntries{}
		e.mu.Unlock()
	}
	return nil
}

// fetchFrom takes the operators' entries of the first VM that answers.
func (e *Edge) fetchFrom(ctx context.Context, to []netip.AddrPort) {
	for _, addr := range to {
		r, err := e.partOf(ctx, addr, e.options.Keys.Operators, ggscore.StorePosition{})
		_ = level.Info(e.Log).Log("event", ggslog.EventNewerEntriesRead, "peer", addr, "entries", len(r.entries), "err", err)
		if err == nil {
			e.adoptOperators(r.entries)
			e.packer.forget(e.options.Keys.Operators)
			return
		}
	}
}
