package ggsclaim

import (
	"maps"
	"time"
)

// A State is the state of a claim.
type State uint8

// The states of claims.
const (
	// StateClaimed means that the holder of the claim may dispatch the request, or has
	// dispatched it.
	StateClaimed State = iota + 1
	// StateReleased means that the request provably did not run. The key may be claimed
	// again with the same body.
	StateReleased
	// StateDone means that the request ran.
	StateDone
	// StateUnknown means that the request may have run. It is never run again.
	StateUnknown
)

// A Result is the response that a finished claim stores for repeated requests.
type Result struct {
	Status      int
	ContentType string
	// Kept is set if Body is the whole response. Otherwise the response was too large to
	// store.
	Kept bool
	Body []byte
}

// A Claim is the record of an idempotency key.
type Claim struct {
	ID     ClaimID
	Body   BodyHash
	State  State
	At     time.Time
	Result Result
}

// claimBytes bounds the encoded size of a claim without its response.
const claimBytes = 96

func (c Claim) bytes() int {
	return claimBytes + len(c.Result.ContentType) + len(c.Result.Body)
}

// A Shard holds the claims of the keys that share a Slot. It is immutable once shared.
type Shard struct {
	Claims    map[KeyHash]Claim
	size      int
	bodyBytes int
}

// NewShard returns a shard of claims.
func NewShard(claims map[KeyHash]Claim) Shard {
	s := Shard{Claims: claims}
	for _, c := range claims {
		s.size += c.bytes()
		s.bodyBytes += len(c.Result.Body)
	}
	return s
}

func (s Shard) clone() Shard {
	s.Claims = maps.Clone(s.Claims)
	if s.Claims == nil {
		s.Claims = map[KeyHash]Claim{}
	}
	return s
}

func (s *Shard) set(k KeyHash, c Claim) {
	if old, ok := s.Claims[k]; ok {
		s.size -= old.bytes()
		s.bodyBytes -= len(old.Result.Body)
	}
	s.Claims[k] = c
	s.size += c.bytes()
	s.bodyBytes += len(c.Result.Body)
}
