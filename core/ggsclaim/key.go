package ggsclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	ggscore "greengageslip/core"
)

// Shards is the number of shards of an epoch. It determines where a key is stored, so all
// processes must use the same value and it is not configurable.
const Shards = 16

// EpochLength is the range of issue times that belong to one epoch. Like Shards it is not
// configurable.
const EpochLength = time.Minute

const (
	hashBytes      = 16
	uuidTextBytes  = 36
	uuidVersion    = 7
	secondsDigits  = 10
	maxKeyBytes    = 256
	uuidDashes     = 4
	uuidVersionAt  = 6
	uuidTimeBytes  = 6
	versionNibble  = 4
	uuidDashOffset = "\x08\x0d\x12\x17"
)

// A KeyHash identifies a key of a market. Two keys with the same hash share a claim, so
// a collision refuses the second key and never runs a request twice.
type KeyHash [hashBytes]byte

// A BodyHash identifies the request body that was sent with a key.
type BodyHash [hashBytes]byte

// A ClaimID identifies one attempt to claim a key. It is globally unique.
type ClaimID [hashBytes]byte

// A Slot identifies a shard of an epoch.
type Slot struct {
	Epoch int64
	Shard int
}

// A Key is an idempotency key of a market with its issue time.
type Key struct {
	Hash   KeyHash
	Issued time.Time
}

// ParseKey takes the issue time from the text of a key if the text contains one, so that a
// repeated request can't state another time and thereby select another shard. Otherwise issued
// is used and becomes part of the key. ParseKey fails with a *BadKeyError.
func ParseKey(m ggscore.Market, k ggscore.IdempotencyKey, issued time.Time) (Key, error) {
	if id, ok := parseUUID(string(k)); ok {
		return Key{Hash: hashKey(m, string(id[:])), Issued: uuidTime(id)}, nil
	}
	if key, err := parseTimed(m, k); err == nil {
		return key, nil
	}
	if issued.IsZero() || k == "" || len(k) > maxKeyBytes {
		return Key{}, &BadKeyError{Key: k}
	}
	ms := issued.UnixMilli()
	text := strconv.FormatInt(ms, 10) + "\x00" + string(k)
	return Key{Hash: hashKey(m, text), Issued: time.UnixMilli(ms)}, nil
}

func parseTimed(m ggscore.Market, k ggscore.IdempotencyKey) (Key, error) {
	seconds, text, found := strings.Cut(string(k), ".")
	if !found || text == "" || len(k) > maxKeyBytes || len(seconds) != secondsDigits {
		return Key{}, &BadKeyError{Key: k}
	}
	n, err := strconv.ParseUint(seconds, 10, 63)
	if err != nil {
		return Key{}, &BadKeyError{Key: k}
	}
	return Key{Hash: hashKey(m, string(k)), Issued: time.Unix(int64(n), 0)}, nil
}

// Slot returns the shard that stores k's claim.
func (k Key) Slot() Slot {
	return Slot{
		Epoch: k.Issued.UnixMilli() / EpochLength.Milliseconds(),
		Shard: int(binary.BigEndian.Uint16(k.Hash[:]) % Shards),
	}
}

// HashBody truncates the digest of a request's body and operation.
func HashBody(d ggscore.Digest) BodyHash { return BodyHash(d[:hashBytes]) }

func hashKey(m ggscore.Market, text string) KeyHash {
	sum := sha256.Sum256([]byte(string(m) + "\x00" + text))
	return KeyHash(sum[:hashBytes])
}

func parseUUID(s string) ([hashBytes]byte, bool) {
	var id [hashBytes]byte
	if len(s) != uuidTextBytes || strings.Count(s, "-") != uuidDashes {
		return id, false
	}
	for _, at := range []byte(uuidDashOffset) {
		if s[at] != '-' {
			return id, false
		}
	}
	n, err := hex.Decode(id[:], []byte(strings.ReplaceAll(s, "-", "")))
	ok := err == nil && n == hashBytes && id[uuidVersionAt]>>versionNibble == uuidVersion
	return id, ok
}

func uuidTime(id [hashBytes]byte) time.Time {
	var b [8]byte
	copy(b[len(b)-uuidTimeBytes:], id[:uuidTimeBytes])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:])))
}
