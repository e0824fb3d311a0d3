package ggscore

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// An Instance is an endpoint as it describes itself. The description lags.
type Instance struct {
	ID      EndpointID
	Service Service
	Domain  Domain
	Addr    netip.AddrPort
	Slots   int
	Leaving bool
	// Born is when the process started. An instance that starts again under
	// its old identity knows nothing of before.
	Born time.Time
	// Sequence counts the orders that the instance has accepted since Born.
	Sequence uint64
	Models   []ResidentModel
}

// A ResidentModel is a base model on an instance with the adapters beside it.
type ResidentModel struct {
	Name     BaseModel
	Adapters []ResidentVersion
}

// A ResidentVersion is an adapter of an instance in one version.
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

// A RequestMeta is what a caller says of its request beside method, path and
// body.
type RequestMeta struct {
	ID RequestID
	// Deadline is how long the caller waits, zero where it didn't say.
	Deadline time.Duration
	Model    ModelAdapter
	// PromptTokens is the size of the prompt, zero where the caller didn't say.
	PromptTokens int
}

// A ForwardMeta is what the system adds to a request that it passes on.
type ForwardMeta struct {
	Endpoint EndpointID
	// Left is the time that is left for the answer.
	Left time.Duration
	// Version is the adapter's version that has to answer, zero for any.
	Version uint64
	// Priority is the route's; an endpoint serves a lower number first.
	Priority Priority
}

// A LoadReport is what an instance says of its load in an answer.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
}

// An AnswerMeta is what an instance says beside status and body.
type AnswerMeta struct {
	Request RequestID
	// Signed says that the answer bears the mark of an instance's own work.
	Signed bool
	// NotRun says that the instance did not run the request and never will.
	NotRun bool
	// Load is nil where the instance didn't tell it.
	Load *LoadReport
	// Limit is nil where the instance names none.
	Limit *RateLimit
	// Leaving says that the instance is about to stop.
	Leaving bool
	// RetryAfter is how long an instance that refused wants nothing from this VM, zero where
	// it didn't say.
	RetryAfter time.Duration
}

// A RateLimit is what an instance takes from all VMs together for as long as its
// answers name it.
type RateLimit struct{ RequestsPerSecond float64 }

// An EndpointLimit is what an endpoint said last of its rate limit.
type EndpointLimit struct {
	Endpoint EndpointID
	// Limit is nil where the endpoint no longer names one.
	Limit *RateLimit
	// Age is the time since it said so.
	Age time.Duration
}

// A Departure is an endpoint that said in an answer that it leaves, whatever its entry says.
type Departure struct {
	Endpoint EndpointID
	// Born tells its process from others under the same identity.
	Born time.Time
}

// An EndpointThrottle says whether this VM may send to endpoints that name a rate limit.
type EndpointThrottle interface {
	// Limit returns the limit that an endpoint names, nil for none.
	Limit(id EndpointID) *RateLimit
	Allows(now time.Time, id EndpointID) bool
	// Wait returns the time until a request may be sent.
	Wait(now time.Time, id EndpointID) time.Duration
}

// A Dialect reads and writes the headers that callers, the system and
// instances understand.
type Dialect interface {
	Request(h http.Header) RequestMeta
	// Forward returns the headers to pass on.
	Forward(h http.Header, f ForwardMeta) http.Header
	Answer(status int, h http.Header) AnswerMeta
}

// A PlacementOrder asks an instance to load or unload a model or an adapter.
type PlacementOrder struct {
	Unload   bool
	Endpoint EndpointID
	Addr     netip.AddrPort
	Target   ModelAdapter
	// Version is the adapter's version, zero for the newest.
	Version uint64
	// Expected is the number of orders that the instance has to have accepted
	// before this one. An order that is carried out late does nothing once
	// another was accepted.
	Expected uint64
	Holder   VMID
	Fence    FenceNumber
}

// A PlacementAnswer says what an instance answered to an order.
type PlacementAnswer int

// The answers to orders.
const (
	// PlacementUnknown means that no answer came: the order may be carried out,
	// also later. It is the zero value, the careful one.
	PlacementUnknown PlacementAnswer = iota
	// PlacementAccepted means that the order is being carried out.
	PlacementAccepted
	// PlacementHolds means that what the order asks for is so already.
	PlacementHolds
	// PlacementConflict means that the instance has accepted other orders than
	// expected, or is busy with one.
	PlacementConflict
	// PlacementFenced means that a newer holder has given orders.
	PlacementFenced
	// PlacementMisdirected means that another instance has the address.
	PlacementMisdirected
	// PlacementRefused means that the order can't be carried out.
	PlacementRefused
)

// An InstanceStatus is an instance's report on itself, some 100 ms old.
type InstanceStatus struct {
	Sequence uint64
	Models   []ResidentModel
	// Coming lists adapters on their way to the instance.
	Coming []ModelAdapter
}

// An InstanceOrderer gives orders to instances and asks for their status.
type InstanceOrderer interface {
	Order(ctx context.Context, o PlacementOrder) (PlacementAnswer, error)
	Status(ctx context.Context, id EndpointID, addr netip.AddrPort) (InstanceStatus, error)
}

// An AdapterVersion names the version of an adapter that requests have to
// begin on.
type AdapterVersion struct {
	Target  ModelAdapter
	Version uint64
}

// An AdapterDemand tells how much an adapter is asked for.
type AdapterDemand interface {
	// Missed returns the requests a second that would miss the adapter if the
	// endpoint gave it up. It only compares adapters with each other.
	Missed(now time.Time, id EndpointID, a ModelAdapter) float64
}
