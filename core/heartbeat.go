package ggscore

import "time"

// A Heartbeat is the gossip message in which a VM sends its own state and that of its requests
// to its peers.
type Heartbeat struct {
	VM VMID
	// Sequence numbers the heartbeats of one process. Started is the process's start.
	Sequence uint64
	Started  int64
	// Relay is how far the receiver relays the heartbeat.
	Relay Relay
	// CountingRelay is the relay that counts the increments in the heartbeat (ends of requests,
	// uses and samples), so that they are counted once. It is empty if each receiver counts them
	// itself.
	CountingRelay VMID
	Progress      StoreProgress
	// InFlight has the endpoints with requests of the VM in flight, or with requests that
	// ended since the VM's last heartbeat.
	InFlight []InFlight
	Holdings []Holding
	Uses     []Use
	// Samples measure how fast endpoints prefill prompts. Tallies count streams, and the
	// degraded ones among them.
	Samples []TurnSample
	Tallies []TurnTally
	// Modes state for each service whether the VM has decided to enforce turns (see PromptTurn).
	Modes []TurnMode
	// Limits are the rate limits that endpoints recently announced or lifted.
	Limits []EndpointLimit
	// ShedLimits are the shed limits of services that answers recently named or lifted.
	ShedLimits []ShedLimit
	// Departures are the endpoints that announced in answers that they leave.
	Departures []Departure
}

// A StoreProgress describes the state of the store that a VM has read.
type StoreProgress struct {
	// Epoch is the current store epoch that the VM knows.
	Epoch StoreEpoch
	// ListedAt and OperatorsAt are the positions of the last changes that were read in the list
	// of endpoints and in the operators' entries. ListDigest is the list's digest from ListedAt on.
	ListedAt    StorePosition
	ListDigest  ListDigest
	OperatorsAt StorePosition
	// ListAge and OperatorsAge are the times since the list and the entries were last read.
	ListAge      time.Duration
	OperatorsAge time.Duration
	// Config is the version of the configuration in use, and Versions is the sum of the
	// adapters' versions. Both may be greater than in the store if the store was restored from
	// an older copy.
	Config   uint64
	Versions uint64
}

// A ListDigest identifies what a reading of the list of endpoints contains, except for what changes
// with each load of an adapter. Zero stands for an unknown one.
type ListDigest uint64

// Merge combines the newest values of two VMs. The ages are those of the VM with the newer
// epoch, or the lesser ones if both VMs know the same epoch.
func (p StoreProgress) Merge(o StoreProgress) StoreProgress {
	if p.Epoch < o.Epoch {
		p, o = o, p
	}
	m := StoreProgress{
		Epoch:    p.Epoch,
		ListedAt: p.ListedAt, ListDigest: p.ListDigest, OperatorsAt: p.OperatorsAt.Max(o.OperatorsAt),
		ListAge: p.ListAge, OperatorsAge: p.OperatorsAge,
		Config: max(p.Config, o.Config), Versions: max(p.Versions, o.Versions),
	}
	if p.ListedAt.Before(o.ListedAt) {
		m.ListedAt, m.ListDigest = o.ListedAt, o.ListDigest
	}
	if p.Epoch == o.Epoch {
		m.ListAge, m.OperatorsAge = min(p.ListAge, o.ListAge), min(p.OperatorsAge, o.OperatorsAge)
	}
	return m
}

// Aged returns p with its ages increased by d.
func (p StoreProgress) Aged(d time.Duration) StoreProgress {
	p.ListAge, p.OperatorsAge = p.ListAge+d, p.OperatorsAge+d
	return p
}

// An InFlight is the number of requests in flight at an endpoint, and the numbers of requests
// that have ended and failed there since the previous heartbeat or summary.
type InFlight struct {
	Endpoint EndpointID
	Count    int
	Ended    int
	Failed   int
}

// A Holding is the set of adapters that an endpoint holds, as reported by its owner.
type Holding struct {
	Endpoint EndpointID
	// Held are the adapters that the endpoint holds. It is only valid if Whole is set.
	Held  []AdapterVersion
	Whole bool
	// Waiting is the number of adapters that wait to be loaded, and FreeCapacity is the number
	// of further adapters that could be loaded at once.
	Waiting      int
	FreeCapacity int
}

// A Use counts the requests for an adapter at an endpoint. Count is the number of requests sent
// since the previous heartbeat or summary. Active is set if any request is in flight.
type Use struct {
	Endpoint EndpointID
	Target   ModelAdapter
	Count    int
	Active   bool
}

// A Demand is the number of requests for an adapter since the previous summary.
type Demand struct {
	Target ModelAdapter
	Count  int
}

// A Summary aggregates the heartbeats of a failure domain, or of all domains if Fleet is set.
type Summary struct {
	// From is the relay that made the summary. Sequence numbers the summaries of the relay's
	// process, and Started is the process's start.
	From   VMID
	Domain Domain
	Fleet  bool
	// Settling is set if the relay took over its role so recently that heartbeats or summaries
	// may be missing from its counts.
	Settling bool
	Sequence uint64
	Started  int64
	Progress StoreProgress
	// Included identifies, for each VM of the domain, the newest heartbeat that the summary
	// counts. Live lists the VMs whose heartbeats arrive, and is only valid if LiveWhole is set.
	Included  []IncludedHeartbeat
	Live      []VMHash
	LiveWhole bool
	InFlight  []InFlight
	Holdings  []Holding
	Uses      []Use
	Demand    []Demand
	Samples   []TurnSample
	Tallies   []TurnTally
	// Decider is the VM with the lowest ID, and Modes are that VM's decisions to enforce turns.
	Decider VMID
	Modes   []TurnMode
	Limits  []EndpointLimit
	// ShedLimits are the shed limits of services that answers recently named or lifted.
	ShedLimits []ShedLimit
	// Departures are the endpoints that announced in answers that they leave.
	Departures []Departure
}

// A VMHash identifies a VM in summaries. It is shorter than a VMID because a summary lists
// hundreds of VMs.
type VMHash uint32

// An IncludedHeartbeat identifies a heartbeat that a summary counts.
type IncludedHeartbeat struct {
	VM       VMHash
	Sequence uint64
}
