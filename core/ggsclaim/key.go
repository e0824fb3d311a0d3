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

// Shards is the number of shards of an epoch. It decides where a key is looked
// for, so that all processes must agree on it: it is no setting.
const Shards = 16

// EpochLength is the span of issue times that share an epoch. Like Shards it
// is no setting.
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

// A KeyHash identifies a market's key. Two keys with one hash would share a
// claim, which refuses the second: a collision never runs a request twice.
type KeyHash [hashBytes]byte

// A BodyHash identifies the body that came with a key.
type BodyHash [hashBytes]byte

// A ClaimID names one attempt to claim a key. It is unique for ever.
type ClaimID [hashBytes]byte

// A Slot names a shard of an epoch.
type Slot struct {
	Epoch int64
	Shard int
}

// A Key is an idempotency key of a market with its issue time.
type Key struct {
	Hash   KeyHash
	Issued time.Time
}

// ParseKey reads the issue time out of a key's text, so that a repeat can't
// name another time and be looked for elsewhere. Where the text has none,
// issued stands in and becomes part of the key. A failure is a *BadKeyError.
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

// Slot returns the place of k's claim.
func (k Key) Slot() Slot {
	return Slot{
		Epoch: k.Issued.UnixMilli() / EpochLength.Milliseconds(),
		Shard: int(binary.BigEndian.Uint16(k.Hash[:]) % Shards),
	}
}

// HashBody shortens the digest of a request's body and operation.
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
