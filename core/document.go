package ggscore

import "time"

// A Revision numbers accepted states of the whole document. It only grows.
type Revision uint64

// A SectionName names a section of the document, such as "market/cr".
type SectionName string

// A Digest is a SHA-256 of a section's text.
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
	// Slots, AdapterSlots and ChecksFence describe each of its endpoints.
	Slots        int
	AdapterSlots int
	ChecksFence  bool
	Operations   map[string]OperationSpec
}

// An OperationSpec describes a call of a plain service.
type OperationSpec struct {
	Name          string
	Operation     Operation
	NonIdempotent bool
}

// A MarketSpec is the section of one market.
type MarketSpec struct {
	Name Market
	// Weight is its share when markets compete.
	Weight int
	// RequestsPerSecond and Burst limit it; zero means no limit.
	RequestsPerSecond float64
	Burst             int
	Adapters          map[string]AdapterSpec
	// Uses says how the market uses each service.
	Uses map[Service]UseSpec
}

// An AdapterSpec describes an adapter.
type AdapterSpec struct {
	Name     string
	Base     BaseModel
	Versions []Version
	// Current is the version that a request gets that names none.
	Current Version
}

// A UseSpec says how a market uses a service.
type UseSpec struct {
	Priority Priority
	// Deadline bounds the wait for an answer's first byte.
	Deadline time.Duration
	// Deferrable is the wait allowed for a fuller batch.
	Deferrable time.Duration
}

// A PolicySpec sets what spans the deployment.
type PolicySpec struct {
	// StallWeight moves the policy between short load stalls (1) and full
	// batches (0).
	StallWeight float64
	// LoadsPerSecond, LoadsAtFullSpeed and LoadsInTransit are the weight
	// store's limits for the whole deployment.
	LoadsPerSecond   float64
	LoadsAtFullSpeed int
	LoadsInTransit   int
	// LoadTime is how long a load takes at full speed.
	LoadTime time.Duration
	// CrossRegionPrice is the stall that a crossing of regions must save.
	CrossRegionPrice time.Duration
	// CrossRegionBytesPerSecond bounds traffic between regions.
	CrossRegionBytesPerSecond float64
	// KeyRetention is how long idempotency keys are kept.
	KeyRetention time.Duration
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int
}
