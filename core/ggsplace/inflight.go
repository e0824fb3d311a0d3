package ggsplace

import (
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsretry"
)

// peerMaxAge is the age at which a peer's report of its requests in flight expires, several
// heartbeat intervals.
const peerMaxAge = 1500 * time.Millisecond

type peer struct {
	at       time.Time
	inFlight map[ggscore.EndpointID]int
}

// SetPeerInFlight replaces a peer's report of its requests in flight.
func (t *Table) SetPeerInFlight(now time.Time, vm ggscore.VMID, fs []ggscore.InFlight) {
	t.dropExpiredPeers(now)
	t.addInFlight(t.peers[vm], -1)
	p := &peer{at: now, inFlight: make(map[ggscore.EndpointID]int, len(fs))}
	for _, f := range fs {
		p.inFlight[f.Endpoint] = f.Count
		if e := t.endpoints[f.Endpoint]; e != nil {
			e.ended.Add(now, f.Ended)
			e.failed.Add(now, f.Failed)
		}
	}
	t.peers[vm] = p
	t.addInFlight(p, 1)
}

// allPeers is the key of the report that sums up all peers, in place of a VM's ID.
const allPeers ggscore.VMID = ""

// summed reports whether the peers' requests are reported as one sum.
func (t *Table) summed() bool { return t.peers[allPeers] != nil }

// SetPeersInFlight takes one report that sums up the requests in flight of all peers. The report
// replaces the reports of single peers.
func (t *Table) SetPeersInFlight(now time.Time, fs []ggscore.InFlight) {
	for vm, p := range t.peers {
		if vm != allPeers {
			t.addInFlight(p, -1)
			delete(t.peers, vm)
		}
	}
	t.SetPeerInFlight(now, allPeers, fs)
}

// addInFlight adds a peer's requests in flight to the endpoints' totals (sign 1), or subtracts
// them (sign -1). A VM of a 65-VM deployment receives 430 heartbeats per second: recomputing
// all totals takes 54 µs per heartbeat, updating them 5 µs (benchmark with 65 peers and 79
// endpoints).
func (t *Table) addInFlight(p *peer, sign int) {
	if p == nil {
		return
	}
	for id, n := range p.inFlight {
		if e := t.endpoints[id]; e != nil {
			e.peers += sign * n
		}
	}
}

// dropExpiredPeers drops the peers' reports that are older than peerMaxAge. It scans at most
// once per peerMaxAge.
func (t *Table) dropExpiredPeers(now time.Time) {
	if now.Sub(t.lastPeerScan) < peerMaxAge {
		return
	}
	t.lastPeerScan = now
	for vm, p := range t.peers {
		if now.Sub(p.at) > peerMaxAge {
			t.addInFlight(p, -1)
			delete(t.peers, vm)
		}
	}
}

// reportAge returns the age of the peers' oldest report, zero without reports.
func (t *Table) reportAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range t.peers {
		oldest = max(oldest, now.Sub(p.at))
	}
	return oldest
}

// peersInFlight returns the peers' total of requests in flight at an endpoint.
func (t *Table) peersInFlight(id ggscore.EndpointID) int {
	n := 0
	for _, p := range t.peers {
		n += p.inFlight[id]
	}
	return n
}

// Sent records that a request of this VM is sent to an endpoint.
func (t *Table) Sent(now time.Time, id ggscore.EndpointID) {
	t.breakers.Started(now, id)
	if e := t.endpoints[id]; e != nil {
		e.own++
	}
}

// Ended records the end of a request that Sent has recorded.
func (t *Table) Ended(now time.Time, id ggscore.EndpointID, r ggsretry.Result) {
	t.breakers.Ended(now, id, r)
	e := t.endpoints[id]
	if e == nil {
		return
	}
	if e.own > 0 {
		e.own--
	}
	t.observe(e, r)
	if r == ggsretry.ResultNeutral {
		return
	}
	e.ended.Add(now, 1)
	e.unreported.Ended++
	if r != ggsretry.ResultOK {
		e.failed.Add(now, 1)
		e.unreported.Failed++
	}
}

// ReportInFlight returns this VM's requests in flight per endpoint, with the requests that ended
// and failed since the previous call. It resets the counts of ended and failed requests.
func (t *Table) ReportInFlight() []ggscore.InFlight {
	var fs []ggscore.InFlight
	for id, e := range t.endpoints {
		f := ggscore.InFlight{Endpoint: id, Count: e.own, Ended: e.unreported.Ended, Failed: e.unreported.Failed}
		e.unreported = ggscore.InFlight{}
		if f.Count > 0 || f.Ended > 0 {
			fs = append(fs, f)
		}
	}
	return fs
}
