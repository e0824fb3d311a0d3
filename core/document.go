package ggscore

import "time"

// A Revision numbers the accepted states of the whole document. It never decreases.
type Revision uint64

// A SectionName names a section of the document, such as "market/cr".
type SectionName string

// A Digest is a SHA-256 digest, such as that of a section's text.
type Digest [32]byte

// A Document is the operators' document in one accepted state. It is
// immutable once built.
type Document struct {
	Revision Revision
	Services map[Service]ServiceSpec
	Markets  map[Market]MarketSpec
	Policy   PolicySpec
}

// A ServiceSpec is a service of the section services.
type ServiceSpec struct {
	Name Service
	Kind ServiceKind
	Base BaseModel
	// Slots, AdapterSlots and ChecksFence describe each endpoint of the service, as the fields
	// of Endpoint do.
	Slots        int
	AdapterSlots int
	ChecksFence  bool
	Operations   map[string]OperationSpec
}

// An OperationSpec describes an operation of a plain service.
type OperationSpec struct {
	Name          string
	Operation     Operation
	NonIdempotent bool
}

// A MarketSpec is the section of one market.
type MarketSpec struct {
	Name Market
	// Weight is the market's relative share when markets compete for capacity.
	Weight int
	// RequestsPerSecond and Burst limit the market's requests; zero means no limit.
	RequestsPerSecond float64
	Burst             int
	Adapters          map[string]AdapterSpec
	// Uses defines how the market uses each service.
	Uses map[Service]UseSpec
}

// An AdapterSpec describes an adapter.
type AdapterSpec struct {
	Name     string
	Base     BaseModel
	Versions []Version
	// Current is the version for requests that name none.
	Current Version
}

// A UseSpec defines how a market uses a service.
type UseSpec struct {
	Priority Priority
	// Deadline bounds the time until an answer's first byte.
	Deadline time.Duration
	// Deferrable is how long a request may wait for a fuller batch.
	Deferrable time.Duration
}

// A PolicySpec holds the settings of the whole deployment.
type PolicySpec struct {
	// StallWeight, from 0 to 1, weighs two goals of the scheduler against each other: 0 prefers
	// full batches, 1 prefers short waits for adapter loads.
	StallWeight float64
	// LoadsPerSecond and LoadsInTransit limit the rate and the number of concurrent loads from
	// the weight store, for the whole deployment. LoadsAtFullSpeed is the number of concurrent
	// loads up to which the store serves each at full speed.
	LoadsPerSecond   float64
	LoadsAtFullSpeed int
	LoadsInTransit   int
	// LoadTime is the duration of a load at full speed.
	LoadTime time.Duration
	// CrossRegionPrice is the minimum stall that sending a request to another region must save.
	CrossRegionPrice time.Duration
	// CrossRegionBytesPerSecond bounds the traffic between regions.
	CrossRegionBytesPerSecond float64
	// KeyRetention is how long idempotency keys are kept.
	KeyRetention time.Duration
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int
}
