package ggsclaim

import (
	"maps"
	"time"
)

// A State says how far a claim has come.
type State uint8

// The states of claims.
const (
	// StateClaimed means that the claim's holder may dispatch or have
	// dispatched.
	StateClaimed State = iota + 1
	// StateReleased means that the request provably did not run; the key may
	// be claimed again with the same body.
	StateReleased
	// StateDone means that the request ran.
	StateDone
	// StateUnknown means that the request may have run. It is never run again.
	StateUnknown
)

// A Result is the answer that a done claim keeps for repeats.
type Result struct {
	Status      int
	ContentType string
	// Kept says that Body is the whole answer; else it was too large to keep.
	Kept bool
	Body []byte
}

// A Claim is what is recorded of a key.
type Claim struct {
	ID     ClaimID
	Body   BodyHash
	State  State
	At     time.Time
	Result Result
}

// claimBytes bounds a claim's size without its answer.
const claimBytes = 96

func (c Claim) bytes() int {
	return claimBytes + len(c.Result.ContentType) + len(c.Result.Body)
}

// A Shard holds the claims of one slot. It is immutable once shared.
type Shard struct {
	Claims map[KeyHash]Claim
	size   int
	bodies int
}

// NewShard returns a shard of claims.
func NewShard(claims map[KeyHash]Claim) Shard {
	s := Shard{Claims: claims}
	for _, c := range claims {
		s.size += c.bytes()
		s.bodies += len(c.Result.Body)
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
		s.bodies -= len(old.Result.Body)
	}
	s.Claims[k] = c
	s.size += c.bytes()
	s.bodies += len(c.Result.Body)
}
