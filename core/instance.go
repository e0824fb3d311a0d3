package ggscore

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// An Instance is an endpoint's description of itself. It may be out of date.
type Instance struct {
	ID      EndpointID
	Service Service
	Domain  Domain
	Addr    netip.AddrPort
	Slots   int
	Leaving bool
	// Software is the version of the instance's software. Endpoints of several versions may serve
	// side by side.
	Software SoftwareVersion
	// StartedAt is when the process started. An instance that restarts under its old identity has
	// lost its previous state.
	StartedAt time.Time
	// Sequence counts the orders that the instance has accepted since StartedAt.
	Sequence uint64
	Models   []ResidentModel
}

// A ResidentModel is a base model on an instance with its resident adapters.
type ResidentModel struct {
	Name     BaseModel
	Adapters []ResidentVersion
}

// A ResidentVersion is an adapter on an instance in one version.
type ResidentVersion struct {
	Adapter string
	Version uint64
}

// A ModelAdapter names an adapter of a base model; Adapter is empty for the
// base model itself.
type ModelAdapter struct {
	Model   BaseModel
	Adapter string
}

// String returns "model/adapter".
func (m ModelAdapter) String() string {
	if m.Adapter == "" {
		return string(m.Model)
	}
	return string(m.Model) + "/" + m.Adapter
}

// A RequestMeta is the metadata of a caller's request, read from its headers.
type RequestMeta struct {
	ID RequestID
	// Deadline is how long the caller waits, zero if unknown.
	Deadline time.Duration
	Model    ModelAdapter
	// PromptTokens is the size of the prompt, zero if unknown.
	PromptTokens int
	// OutputTokens is the most that the request may generate, zero if unknown.
	OutputTokens int
	// SharedParts are the prompt's parts that other requests may have too, in order. The last part of
	// a prompt is the request's own and isn't among them.
	SharedParts []PromptPart
	// Work are the headers' values that describe what endpoints have to do. They are the same in each try of
	// a request.
	Work []string
	// Resumption is nil unless the caller resumes a stream.
	Resumption *Resumption
}

// A Resumption asks for the rest of a stream that an earlier request began.
type Resumption struct {
	// Origin is the request whose answer had the stream's first event, empty if the caller doesn't
	// name it.
	Origin RequestID
	// LastEvent is the ID of the last event that the caller received.
	LastEvent string
}

// A ForwardMeta is the metadata that the system adds to a forwarded request.
type ForwardMeta struct {
	Endpoint EndpointID
	// Left is the remaining time for the answer.
	Left time.Duration
	// Version is the adapter version that must serve the request, zero for any.
	Version uint64
	// Priority is the route's priority; an endpoint serves lower numbers first.
	Priority Priority
}

// A LoadReport is an instance's load as reported in an answer.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
}

// An AnswerMeta is the metadata of an instance's answer, read from its headers.
type AnswerMeta struct {
	Request RequestID
	// Signed is set if the answer's headers show that an instance itself produced the answer.
	Signed bool
	// StatedNotRun is set if a header says that the instance did not run the request and never will, whatever the
	// answer's status.
	StatedNotRun bool
	// Misdirected is set if another process than the one that the request was meant for may have answered.
	Misdirected bool
	// Load is nil if the answer doesn't report it.
	Load *LoadReport
	// Limit is nil if the answer doesn't report one.
	Limit *RateLimit
	// Leaving is set if the instance is about to stop.
	Leaving bool
	// ShedLimit is the number of requests that the instance can shed in a second for lack of
	// capacity before it fails, nil if the answer doesn't say so.
	ShedLimit *int
	// RetryAfter is how long this VM should send no requests after a refusal, zero if unknown.
	RetryAfter time.Duration
}

// A RateLimit is the request rate that an instance accepts from all VMs together. It applies for
// as long as the instance's answers report it.
type RateLimit struct{ RequestsPerSecond float64 }

// An EndpointLimit is the rate limit that an endpoint last reported.
type EndpointLimit struct {
	Endpoint EndpointID
	// Limit is nil if the endpoint no longer reports one.
	Limit *RateLimit
	// Age is the time since the endpoint's report.
	Age time.Duration
}

// A ShedLimit is what the answers of a service last said of the requests that each of its endpoints
// can shed.
type ShedLimit struct {
	Service Service
	// RefusalsPerSecond is the number of requests that an endpoint can refuse in a second for lack of
	// capacity before it fails, nil if answers no longer say so.
	RefusalsPerSecond *int
	// Age is the time since the answer.
	Age time.Duration
}

// A Departure is an endpoint that announced in an answer that it leaves. The announcement takes
// precedence over the endpoint's entry in the store.
type Departure struct {
	Endpoint EndpointID
	// StartedAt distinguishes the endpoint's process from others under the same identity.
	StartedAt time.Time
}

// An EndpointThrottle decides whether this VM may send requests to endpoints that are rate-limited or
// shed-limited.
type EndpointThrottle interface {
	// ShedLimited reports whether the endpoints of a service fail when they shed too many requests.
	ShedLimited(now time.Time, s Service) bool
	// Limit returns the endpoint's rate limit, nil for none.
	Limit(id EndpointID) *RateLimit
	Allows(now time.Time, id EndpointID) bool
	// Wait returns the time until a request may be sent.
	Wait(now time.Time, id EndpointID) time.Duration
}

// A Dialect translates between headers and metadata for callers, the system and instances.
type Dialect interface {
	Request(h http.Header) RequestMeta
	// Forward returns the headers of the forwarded request.
	Forward(h http.Header, f ForwardMeta) http.Header
	Answer(status int, h http.Header) AnswerMeta
	// Return returns the headers of a forwarded answer. What an endpoint states to the system isn't among them.
	Return(h http.Header) http.Header
}

// A PlacementOrder orders an instance to load or unload a model or an adapter.
type PlacementOrder struct {
	Unload   bool
	Endpoint EndpointID
	Addr     netip.AddrPort
	Target   ModelAdapter
	// Version is the adapter's version, zero for the newest.
	Version uint64
	// Expected is the number of orders that the instance must have accepted before this one.
	// An order that arrives late has no effect once the instance has accepted another one.
	Expected uint64
	Holder   VMID
	Fence    FencingToken
}

// A PlacementAnswer is an instance's answer to an order.
type PlacementAnswer int

// The answers to orders.
const (
	// PlacementUnknown means that no answer arrived. The order may have been executed, or may
	// still be. It is the zero value because it is the safe assumption.
	PlacementUnknown PlacementAnswer = iota
	// PlacementAccepted means that the order is being executed.
	PlacementAccepted
	// PlacementSatisfied means that the instance is already in the ordered state.
	PlacementSatisfied
	// PlacementConflict means that the number of accepted orders differs from the expected
	// one, or that the instance is executing another order.
	PlacementConflict
	// PlacementFenced means that the order was refused because a newer owner has sent orders.
	PlacementFenced
	// PlacementMisdirected means that another instance, which has the address now, received and
	// refused the order.
	PlacementMisdirected
	// PlacementRefused means that the order can't be executed.
	PlacementRefused
)

// An InstanceStatus is an instance's report on itself. It is some 100 ms old.
type InstanceStatus struct {
	// StartedAt is when the process started, zero if the report doesn't say.
	StartedAt time.Time
	Sequence  uint64
	Models    []ResidentModel
	// InTransit are the adapters in transit to the instance.
	InTransit []ModelAdapter
}

// A PlacementClient sends orders to instances and requests their status.
type PlacementClient interface {
	Order(ctx context.Context, o PlacementOrder) (PlacementAnswer, error)
	Status(ctx context.Context, id EndpointID, addr netip.AddrPort) (InstanceStatus, error)
}

// An AdapterVersion is an adapter with one of its versions.
type AdapterVersion struct {
	Target  ModelAdapter
	Version uint64
}

// An AdapterDemand estimates the demand for adapters.
type AdapterDemand interface {
	// MissRate returns the rate of requests, per second, that would miss the adapter if the
	// endpoint evicted it. It is only meaningful in comparison with other adapters.
	MissRate(now time.Time, id EndpointID, a ModelAdapter) float64
}
