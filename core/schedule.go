package ggscore

import "time"

// An OrderKind is the action that an Order requests.
type OrderKind int

// The kinds of orders.
const (
	// OrderDispatch sends Request to Endpoint.
	OrderDispatch OrderKind = iota
	// OrderLoad loads Adapter on Endpoint.
	OrderLoad
	// OrderUnload evicts Adapter from Endpoint.
	OrderUnload
	// OrderRefuse answers Request with Failure. The request has not run.
	OrderRefuse
)

// An Order is one action that a scheduler requests. The caller performs the action and reports
// its end to the scheduler.
type Order struct {
	Kind     OrderKind
	Endpoint EndpointID
	Adapter  AdapterRef
	Request  *Request
	Failure  *Failure
}

// An EndKind is the way in which a request's run or an order on a runner ended.
type EndKind int

// The ends of runs and orders.
const (
	// EndDone means that the run or the order succeeded.
	EndDone EndKind = iota
	// EndFailed means that the run or the order failed and is known to have had no effect.
	EndFailed
	// EndUnknown means that the run or the order may have had an effect.
	EndUnknown
	// EndAdapterMissing means that the engine didn't hold the adapter, so the request did not
	// run.
	EndAdapterMissing
)

// An OwnerMode determines what an owner may do with an endpoint now.
type OwnerMode int

// The modes of ownership.
const (
	// ModeNone forbids everything, because another VM may be the owner.
	ModeNone OwnerMode = iota
	// ModeResidentOnly allows requests whose adapters the ownership record protects, but neither
	// loads nor evictions.
	ModeResidentOnly
	// ModeFull allows everything.
	ModeFull
)

// A RequestScheduler handles requests and their ends.
type RequestScheduler interface {
	Submit(now time.Time, r *Request) []Order
	Cancel(now time.Time, id RequestID) []Order
	RequestEnded(now time.Time, id RequestID, e EndKind) []Order
}

// An EndpointScheduler handles changes and reports of endpoints.
type EndpointScheduler interface {
	// SetEndpoint adds or changes an endpoint. A leaving endpoint gets no new requests.
	SetEndpoint(now time.Time, e Endpoint, m OwnerMode) []Order
	RemoveEndpoint(now time.Time, id EndpointID) []Order
	Report(now time.Time, r RunnerReport) []Order
	// Protect sets the adapters that may not be evicted from an endpoint because an earlier
	// owner may still use them; nil ends the protection.
	Protect(now time.Time, id EndpointID, refs []AdapterRef) []Order
}

// A LoadScheduler handles the ends of loads and evictions, and this owner's share of the weight
// store's limits.
type LoadScheduler interface {
	LoadEnded(now time.Time, id EndpointID, a AdapterRef, e EndKind) []Order
	UnloadEnded(now time.Time, id EndpointID, a AdapterRef, e EndKind) []Order
	SetLoadShare(now time.Time, s LoadShare) []Order
}

// A LoadShare is an owner's share of the weight store's limits.
type LoadShare struct {
	LoadsPerSecond float64
	InTransit      int
}

// A Scheduler schedules requests and loads for the endpoints of one owner. It is pure: it has no
// clock, goroutine or lock. Every submitted request results in exactly one OrderRefuse, or in
// one or more OrderDispatch of which all but the last were reported as EndFailed or
// EndAdapterMissing.
type Scheduler interface {
	RequestScheduler
	EndpointScheduler
	LoadScheduler
	// Tick returns the orders that are due at now. NextTick returns when to call Tick next.
	Tick(now time.Time) []Order
	NextTick() time.Time
	Summary(now time.Time) []RunnerSummary
}

// A RunnerSummary is the state of one endpoint that a dispatcher reports to gateways.
type RunnerSummary struct {
	Endpoint EndpointID
	Service  Service
	Mode     OwnerMode
	Leaving  bool
	Slots    int
	Running  int
	Queued   int
	// AdapterSlots, Resident and Loading are set for runners only.
	AdapterSlots int
	Resident     []AdapterRef
	Loading      []AdapterRef
}

// A DispatcherSummary is the state that a dispatcher reports to gateways.
type DispatcherSummary struct {
	VM      VMID
	Region  Region
	Domain  Domain
	Leaving bool
	// Incarnation and Sequence order the summaries of one dispatcher.
	Incarnation string
	Sequence    uint64
	Runners     []RunnerSummary
}

// String returns the mode's name in state dumps.
func (m OwnerMode) String() string {
	switch m {
	case ModeFull:
		return "full"
	case ModeResidentOnly:
		return "residentOnly"
	case ModeNone:
	}
	return "none"
}
