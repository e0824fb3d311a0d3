package ggsedge

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggspermit"
)

// A State is the state that an Edge uses for its decisions.
type State struct {
	Domain ggscore.Domain
	// Config is the version of the configuration in use, zero for none. Routes is its number of
	// routes.
	Config uint64
	Routes int
	// ListAge is the time since this VM or a peer read the list of endpoints, and ListReadAge that since
	// this VM did. ListDigest identifies what this VM has read, and is the same at all VMs that have read
	// the same. StoreUnavailable is set if the last read of the operators' entries failed.
	ListAge          time.Duration
	ListReadAge      time.Duration
	ListDigest       ggscore.ListDigest
	StoreUnavailable bool
	// Epoch is the current store epoch. ResyncTime is how long this VM took to read the store in
	// that epoch, or has taken so far.
	Epoch      ggscore.StoreEpoch
	ResyncTime time.Duration
	Endpoints  []EndpointState
	Peers      []PeerState
	Versions   []ggscore.AdapterVersion
	// Quarantined are the parts of prompts and the requests that are kept from endpoints because they crash
	// them.
	Quarantined []QuarantineState
	// ShedLimits are what the answers of services last said of the requests that their endpoints can shed.
	ShedLimits []ggscore.ShedLimit
	// Permits are the shed-limited endpoints for which this VM issues permits.
	Permits []ggspermit.EndpointPermits
	// Unreadable are the entries of the store that can't be read.
	Unreadable []DefectState
}

// A QuarantineState is a suspect in quarantine, and the time until it is let go.
type QuarantineState struct {
	Suspect ggscore.SuspectID
	Left    time.Duration
}

// An EndpointState is an endpoint as an Edge knows it.
type EndpointState struct {
	ID      ggscore.EndpointID
	Service ggscore.Service
	Domain  ggscore.Domain
	// Software is the version of the endpoint's software.
	Software ggscore.SoftwareVersion
	Leaving  bool
	// Blocked is set if this VM reaches the endpoint only through peers.
	Blocked bool
	// Limit is the rate limit that the endpoint announces, nil for none.
	Limit *ggscore.RateLimit
	// Owner is the VM that owns the endpoint and sends it orders, empty for none.
	Owner ggscore.VMID
	// Held are the adapters that the endpoint holds, if this VM is its owner.
	Held []ggscore.AdapterVersion
	// Loads is the state of the endpoint's load queue, nil if this VM isn't its owner.
	Loads *LoadState
}

// A LoadState is the state of an endpoint's load queue.
type LoadState struct {
	// Waiting is the number of adapters that wait to be loaded, and LongestWait the time that the
	// first of them has waited.
	Waiting     int
	LongestWait time.Duration
	// FreeCapacity is the number of adapters that could be loaded at once.
	FreeCapacity int
	// LateOrders is the number of unanswered orders for which a slot stays free.
	LateOrders int
}

// A PeerState is a VM that an Edge knows, and the age of its last heartbeat.
type PeerState struct {
	VM           ggscore.VMID
	Domain       ggscore.Domain
	HeartbeatAge time.Duration
}

// State returns the edge's state, sorted by names.
func (e *Edge) State() State {
	s := State{Domain: e.options.Domain, StoreUnavailable: e.storeUnavailable.Load()}
	if t := e.paths.Load(); t != nil {
		s.Config, s.Routes = t.Config.Version, len(t.Config.Routes)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	s.Epoch, s.ResyncTime = e.epochs.current(), e.resyncTime()
	if e.listed {
		s.ListAge = now.Sub(e.listObserved)
		_, s.ListDigest = e.listProgress.Announcement()
	}
	if !e.listReadTime.IsZero() {
		s.ListReadAge = now.Sub(e.listReadTime)
	}
	for _, i := range e.table.Instances("") {
		n := EndpointState{ID: i.ID, Service: i.Service, Domain: i.Domain, Software: i.Software, Leaving: i.Leaving, Blocked: e.Paths.Blocked(i.Addr), Limit: e.limits.Limit(i.ID), Owner: e.ownership.Owner(i.ID)}
		if w := e.workers[i.ID]; w != nil {
			n.Held = w.ledger.Resident()
			sortVersions(n.Held)
			n.Loads = &LoadState{
				Waiting: w.ledger.Waiting(), LongestWait: w.ledger.LongestWait(now),
				FreeCapacity: w.ledger.FreeCapacity(now), LateOrders: w.ledger.LateOrders(now),
			}
		}
		s.Endpoints = append(s.Endpoints, n)
	}
	for vm, p := range e.peers {
		s.Peers = append(s.Peers, PeerState{VM: vm, Domain: p.domain, HeartbeatAge: now.Sub(p.lastSeen)})
	}
	for t, v := range e.versions {
		s.Versions = append(s.Versions, ggscore.AdapterVersion{Target: t, Version: v})
	}
	sortVersions(s.Versions)
	for p, left := range e.crashes.Quarantined() {
		s.Quarantined = append(s.Quarantined, QuarantineState{Suspect: p, Left: left})
	}
	s.ShedLimits, s.Permits = e.limits.RecentShedLimits(now), e.issuer.State(now)
	s.Unreadable = e.defectStates(now)
	slices.SortFunc(s.Permits, func(a, b ggspermit.EndpointPermits) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	slices.SortFunc(s.Quarantined, func(a, b QuarantineState) int { return cmp.Compare(a.Suspect, b.Suspect) })
	slices.SortFunc(s.Endpoints, func(a, b EndpointState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	slices.SortFunc(s.Peers, func(a, b PeerState) int { return cmp.Compare(a.VM, b.VM) })
	return s
}

func sortVersions(vs []ggscore.AdapterVersion) {
	slices.SortFunc(vs, func(a, b ggscore.AdapterVersion) int { return cmp.Compare(a.Target.String(), b.Target.String()) })
}

// A stateWire is the JSON form of a State. Durations are in seconds.
type stateWire struct {
	Domain           string         `json:"domain"`
	ConfigVersion    uint64         `json:"configVersion"`
	Routes           int            `json:"routes"`
	ListAgeSeconds   float64        `json:"listAgeSeconds"`
	ListReadSeconds  float64        `json:"listReadAgeSeconds"`
	ListDigest       string         `json:"listDigest"`
	StoreUnavailable bool           `json:"storeAway"`
	StoreEpoch       uint64         `json:"storeEpoch"`
	ResyncSeconds    float64        `json:"storeResyncSeconds"`
	Endpoints        []endpointWire `json:"endpoints"`
	Peers            []peerWire     `json:"peers"`
	// Versions and Held are adapters with their versions.
	Versions    []versionWire    `json:"versions"`
	Quarantined []quarantineWire `json:"quarantined,omitempty"`
	ShedLimits  []shedLimitWire  `json:"shedLimits,omitempty"`
	Permits     []permitsWire    `json:"permits,omitempty"`
	Unreadable  []defectWire     `json:"unreadable,omitempty"`
}

// A defectWire is an entry that can't be read, or a part of it.
type defectWire struct {
	Key        string  `json:"key"`
	Part       string  `json:"part,omitempty"`
	Revision   uint64  `json:"revision"`
	Reason     string  `json:"reason"`
	AgeSeconds float64 `json:"ageSeconds"`
}

// A permitsWire has the permits of an endpoint.
type permitsWire struct {
	Endpoint string `json:"endpoint"`
	Limit    int    `json:"limit"`
	Granted  int    `json:"granted"`
	Waiting  int    `json:"waiting"`
}

// A shedLimitWire is a shed limit. RefusalsPerSecond is omitted if the limit was lifted.
type shedLimitWire struct {
	Service           string  `json:"service"`
	RefusalsPerSecond *int    `json:"refusalsPerSecond,omitempty"`
	AgeSeconds        float64 `json:"ageSeconds"`
}

type quarantineWire struct {
	Part        string  `json:"part,omitempty"`
	Fingerprint string  `json:"fingerprint,omitempty"`
	LeftSeconds float64 `json:"leftSeconds"`
}

type endpointWire struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Domain   string `json:"domain"`
	Software string `json:"software"`
	Leaving  bool   `json:"leaving"`
	Blocked  bool   `json:"blocked,omitempty"`
	// LimitPerSecond is omitted if the endpoint announces no limit.
	LimitPerSecond *float64      `json:"limitPerSecond,omitempty"`
	Owner          string        `json:"orderer"`
	Held           []versionWire `json:"held"`
	Loads          *loadWire     `json:"loads,omitempty"`
}

type loadWire struct {
	Waiting            int     `json:"waiting"`
	LongestWaitSeconds float64 `json:"longestWaitSeconds"`
	FreeCapacity       int     `json:"freeCapacity"`
	LateOrders         int     `json:"lateOrders"`
}

type peerWire struct {
	VM                  string  `json:"vm"`
	Domain              string  `json:"domain"`
	HeartbeatAgeSeconds float64 `json:"silenceSeconds"`
}

type versionWire struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version uint64 `json:"version"`
}

// MarshalJSON implements json.Marshaler.
func (s State) MarshalJSON() ([]byte, error) {
	w := stateWire{
		Domain: string(s.Domain), ConfigVersion: s.Config, Routes: s.Routes, ListAgeSeconds: s.ListAge.Seconds(),
		ListReadSeconds: s.ListReadAge.Seconds(), ListDigest: strconv.FormatUint(uint64(s.ListDigest), 16),
		StoreUnavailable: s.StoreUnavailable, StoreEpoch: uint64(s.Epoch), ResyncSeconds: s.ResyncTime.Seconds(), Versions: versionWires(s.Versions),
	}
	for _, n := range s.Endpoints {
		x := endpointWire{
			ID: string(n.ID), Service: string(n.Service), Domain: string(n.Domain), Software: string(n.Software), Leaving: n.Leaving,
			Blocked: n.Blocked, Owner: string(n.Owner), Held: versionWires(n.Held),
		}
		if n.Limit != nil {
			x.LimitPerSecond = &n.Limit.RequestsPerSecond
		}
		if l := n.Loads; l != nil {
			x.Loads = &loadWire{
				Waiting: l.Waiting, LongestWaitSeconds: l.LongestWait.Seconds(), FreeCapacity: l.FreeCapacity, LateOrders: l.LateOrders,
			}
		}
		w.Endpoints = append(w.Endpoints, x)
	}
	for _, p := range s.Peers {
		w.Peers = append(w.Peers, peerWire{VM: string(p.VM), Domain: string(p.Domain), HeartbeatAgeSeconds: p.HeartbeatAge.Seconds()})
	}
	for _, q := range s.Quarantined {
		x := quarantineWire{LeftSeconds: q.Left.Seconds()}
		if f, ok := q.Suspect.Request(); ok {
			x.Fingerprint = string(f)
		} else {
			x.Part = string(q.Suspect)
		}
		w.Quarantined = append(w.Quarantined, x)
	}
	for _, l := range s.ShedLimits {
		w.ShedLimits = append(w.ShedLimits, shedLimitWire{
			Service: string(l.Service), RefusalsPerSecond: l.RefusalsPerSecond, AgeSeconds: l.Age.Seconds(),
		})
	}
	for _, n := range s.Permits {
		w.Permits = append(w.Permits, permitsWire{Endpoint: string(n.Endpoint), Limit: n.Limit, Granted: n.Granted, Waiting: n.Waiting})
	}
	for _, d := range s.Unreadable {
		w.Unreadable = append(w.Unreadable, defectWire{
			Key: string(d.Key), Part: d.Part, Revision: uint64(d.Revision), Reason: d.Reason, AgeSeconds: d.Age.Seconds(),
		})
	}
	return json.Marshal(&w)
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *State) UnmarshalJSON(b []byte) error {
	var w stateWire
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	var digest uint64
	if w.ListDigest != "" {
		var err error
		if digest, err = strconv.ParseUint(w.ListDigest, 16, 64); err != nil {
			return err
		}
	}
	*s = State{
		Domain: ggscore.Domain(w.Domain), Config: w.ConfigVersion, Routes: w.Routes, ListAge: duration(w.ListAgeSeconds),
		ListReadAge: duration(w.ListReadSeconds), ListDigest: ggscore.ListDigest(digest),
		StoreUnavailable: w.StoreUnavailable, Epoch: ggscore.StoreEpoch(w.StoreEpoch), ResyncTime: duration(w.ResyncSeconds), Versions: versionsOf(w.Versions),
	}
	for _, n := range w.Endpoints {
		x := EndpointState{
			ID: ggscore.EndpointID(n.ID), Service: ggscore.Service(n.Service), Domain: ggscore.Domain(n.Domain),
			Software: ggscore.SoftwareVersion(n.Software), Leaving: n.Leaving, Blocked: n.Blocked, Owner: ggscore.VMID(n.Owner), Held: versionsOf(n.Held),
		}
		if n.LimitPerSecond != nil {
			x.Limit = &ggscore.RateLimit{RequestsPerSecond: *n.LimitPerSecond}
		}
		if l := n.Loads; l != nil {
			x.Loads = &LoadState{
				Waiting: l.Waiting, LongestWait: duration(l.LongestWaitSeconds), FreeCapacity: l.FreeCapacity, LateOrders: l.LateOrders,
			}
		}
		s.Endpoints = append(s.Endpoints, x)
	}
	for _, p := range w.Peers {
		s.Peers = append(s.Peers, PeerState{VM: ggscore.VMID(p.VM), Domain: ggscore.Domain(p.Domain), HeartbeatAge: duration(p.HeartbeatAgeSeconds)})
	}
	for _, q := range w.Quarantined {
		id := ggscore.SuspectPart(ggscore.PromptPart(q.Part))
		if q.Fingerprint != "" {
			id = ggscore.SuspectRequest(ggscore.Fingerprint(q.Fingerprint))
		}
		s.Quarantined = append(s.Quarantined, QuarantineState{Suspect: id, Left: duration(q.LeftSeconds)})
	}
	for _, l := range w.ShedLimits {
		s.ShedLimits = append(s.ShedLimits, ggscore.ShedLimit{
			Service: ggscore.Service(l.Service), RefusalsPerSecond: l.RefusalsPerSecond, Age: duration(l.AgeSeconds),
		})
	}
	for _, n := range w.Permits {
		s.Permits = append(s.Permits, ggspermit.EndpointPermits{
			Endpoint: ggscore.EndpointID(n.Endpoint), Limit: n.Limit, Granted: n.Granted, Waiting: n.Waiting,
		})
	}
	for _, d := range w.Unreadable {
		s.Unreadable = append(s.Unreadable, DefectState{
			Key: ggscore.Key(d.Key), Part: d.Part, Revision: ggscore.StoreRevision(d.Revision), Reason: d.Reason, Age: duration(d.AgeSeconds),
		})
	}
	return nil
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func versionWires(vs []ggscore.AdapterVersion) []versionWire {
	ws := make([]versionWire, 0, len(vs))
	for _, v := range vs {
		ws = append(ws, versionWire{Model: string(v.Target.Model), Adapter: v.Target.Adapter, Version: v.Version})
	}
	return ws
}

func versionsOf(ws []versionWire) []ggscore.AdapterVersion {
	var vs []ggscore.AdapterVersion
	for _, w := range ws {
		vs = append(vs, ggscore.AdapterVersion{
			Target: ggscore.ModelAdapter{Model: ggscore.BaseModel(w.Model), Adapter: w.Adapter}, Version: w.Version,
		})
	}
	return vs
}
