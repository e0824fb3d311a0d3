package ggscore

import "time"

// An OrderKind says what an Order asks for.
type OrderKind int

// The kinds of orders.
const (
	// OrderDispatch sends Request to Endpoint.
	OrderDispatch OrderKind = iota
	// OrderLoad loads Adapter on Endpoint.
	OrderLoad
	// OrderUnload evicts Adapter from Endpoint.
	OrderUnload
	// OrderRefuse answers Request with Failure; the request has not run.
	OrderRefuse
)

// An Order is one thing that a scheduler wants done. The caller does it and
// reports back.
type Order struct {
	Kind     OrderKind
	Endpoint EndpointID
	Adapter  AdapterRef
	Request  *Request
	Failure  *Failure
}

// An EndKind says how a request's run or an order on a runner ended.
type EndKind int

// The ends of runs and orders.
const (
	// EndDone means that it succeeded.
	EndDone EndKind = iota
	// EndFailed means that it failed and is known to have had no effect.
	EndFailed
	// EndUnknown means that it may or may not have had an effect.
	EndUnknown
	// EndAdapterMissing means that the engine didn't hold the adapter, so
	// that the request did not run.
	EndAdapterMissing
)

// An OwnerMode says what an owner may do with an endpoint now.
type OwnerMode int

// The modes of ownership.
const (
	// ModeNone forbids everything: another VM may be the owner.
	ModeNone OwnerMode = iota
	// ModeResidentOnly allows requests for protected adapters, no orders.
	ModeResidentOnly
	// ModeFull allows everything.
	ModeFull
)

// A RequestScheduler takes requests and their ends.
type RequestScheduler interface {
	Submit(now time.Time, r *Request) []Order
	Cancel(now time.Time, id RequestID) []Order
	RequestEnded(now time.Time, id RequestID, e EndKind) []Order
}

// An EndpointScheduler takes what is known of endpoints.
type EndpointScheduler interface {
	// SetEndpoint adds or changes an endpoint. A leaving one gets no new work.
	SetEndpoint(now time.Time, e Endpoint, m OwnerMode) []Order
	RemoveEndpoint(now time.Time, id EndpointID) []Order
	Report(now time.Time, r RunnerReport) []Order
	// Protect names the adapters that may not be evicted from an endpoint,
	// since an earlier owner may still use them; nil ends the protection.
	Protect(now time.Time, id EndpointID, refs []AdapterRef) []Order
}

// A LoadScheduler takes the ends of loads and evictions, and this owner's
// share of the weight store's limits.
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

// A Scheduler decides for the endpoints of one owner. It is pure: it holds no
// clock, no goroutine and no lock. Every request that was submitted ends in
// exactly one OrderRefuse, or in one or more OrderDispatch of which all but the
// last were reported as EndFailed or EndAdapterMissing.
type Scheduler interface {
	RequestScheduler
	EndpointScheduler
	LoadScheduler
	// Tick does what is due at now. NextTick says when it is wanted next.
	Tick(now time.Time) []Order
	NextTick() time.Time
	Summary(now time.Time) []RunnerSummary
}

// A RunnerSummary is what a dispatcher tells gateways of one endpoint.
type RunnerSummary struct {
	Endpoint EndpointID
	Service  Service
	Mode     OwnerMode
	Leaving  bool
	Slots    int
	Running  int
	Queued   int
	// AdapterSlots, Resident and Loading stand for runners only.
	AdapterSlots int
	Resident     []AdapterRef
	Loading      []AdapterRef
}

// A DispatcherSummary is what a dispatcher tells gateways of itself.
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

// String returns the mode's name in dumps.
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
