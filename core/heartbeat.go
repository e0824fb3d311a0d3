package ggscore

import "time"

// A Heartbeat is what a VM tells its peers of itself and of its requests.
type Heartbeat struct {
	VM VMID
	// Sequence numbers the heartbeats of one process, whose start is Started.
	Sequence uint64
	Started  int64
	// Relay says how far the receiver passes the heartbeat on.
	Relay Relay
	// Carrier is the relay that counts what is told once: ends of requests, uses and
	// samples. It is empty where each receiver does.
	Carrier VMID
	News    News
	// InFlight has the endpoints with requests of the VM, or whose requests ended since
	// its last heartbeat.
	InFlight []InFlight
	Holdings []Holding
	Uses     []Use
	// Samples and Tallies tell how endpoints read.
	Samples []TurnSample
	Tallies []TurnTally
	// Modes say whether prompts wait, by the VM.
	Modes []TurnMode
	// Limits are the rate limits that endpoints named or lifted lately.
	Limits []EndpointLimit
	// Departures are the endpoints that said in answers that they leave.
	Departures []Departure
}

// A News says how far the store was read.
type News struct {
	// Epoch is the store's epoch that the VM knows.
	Epoch StoreEpoch
	// ListedAt and OperatedAt are the points in the store's history by which the list of
	// endpoints and the operators' entries were seen to change last.
	ListedAt   StorePosition
	OperatedAt StorePosition
	// ListAge and OperatorsAge are the times since they were read.
	ListAge      time.Duration
	OperatorsAge time.Duration
	// Config is the version of the configuration in force, Versions the sum of those of
	// adapters: they may be greater than the store's, which may have lost the newest.
	Config   uint64
	Versions uint64
}

// Merge returns the newest of two readings. Ages are those of readings in the newer epoch.
func (n News) Merge(o News) News {
	if n.Epoch < o.Epoch {
		n, o = o, n
	}
	m := News{
		Epoch:    n.Epoch,
		ListedAt: n.ListedAt.Max(o.ListedAt), OperatedAt: n.OperatedAt.Max(o.OperatedAt),
		ListAge: n.ListAge, OperatorsAge: n.OperatorsAge,
		Config: max(n.Config, o.Config), Versions: max(n.Versions, o.Versions),
	}
	if n.Epoch == o.Epoch {
		m.ListAge, m.OperatorsAge = min(n.ListAge, o.ListAge), min(n.OperatorsAge, o.OperatorsAge)
	}
	return m
}

// Aged returns the reading after some time has passed.
func (n News) Aged(d time.Duration) News {
	n.ListAge, n.OperatorsAge = n.ListAge+d, n.OperatorsAge+d
	return n
}

// An InFlight is the number of requests at an endpoint, and how many have ended and
// failed there since it was last told.
type InFlight struct {
	Endpoint EndpointID
	Count    int
	Ended    int
	Failed   int
}

// A Holding is what an endpoint holds by the word of its controller.
type Holding struct {
	Endpoint EndpointID
	// Held is what the endpoint holds, where Whole says that it is told.
	Held  []AdapterVersion
	Whole bool
	// Waiting is the number of adapters that wait to be loaded there, Room that of
	// those that would find a place at once.
	Waiting int
	Room    int
}

// A Use is an adapter at an endpoint that requests use. Count is the number of those
// sent since it was last told, Active says that some are under way.
type Use struct {
	Endpoint EndpointID
	Target   ModelAdapter
	Count    int
	Active   bool
}

// A Demand is the number of requests for an adapter since it was last told.
type Demand struct {
	Target ModelAdapter
	Count  int
}

// A Summary sums up the heartbeats of a failure domain, or of all for Fleet.
type Summary struct {
	// From is the relay that made it, Sequence numbers those of its process, whose start
	// is Started.
	From   VMID
	Domain Domain
	Fleet  bool
	// Settling says that the relay has become one so lately that heartbeats or summaries
	// may be missing from its counts.
	Settling bool
	Sequence uint64
	Started  int64
	News     News
	// Included has the newest heartbeats of the domain's VMs that are counted. Live are
	// the VMs whose heartbeats arrive, where LiveWhole says that they are told.
	Included  []IncludedHeartbeat
	Live      []VMHash
	LiveWhole bool
	InFlight  []InFlight
	Holdings  []Holding
	Uses      []Use
	Demand    []Demand
	Samples   []TurnSample
	Tallies   []TurnTally
	// Modes are those of Decider, the first of the VMs.
	Decider VMID
	Modes   []TurnMode
	Limits  []EndpointLimit
	// Departures are the endpoints that said in answers that they leave.
	Departures []Departure
}

// A VMHash stands for a VM in summaries, which name hundreds.
type VMHash uint32

// An IncludedHeartbeat is a heartbeat that a summary counts.
type IncludedHeartbeat struct {
	VM       VMHash
	Sequence uint64
}
