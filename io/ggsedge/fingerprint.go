package ggsedge

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"strings"

	ggscore "greengageslip/core"
)

// fingerprintBytes is the length of a fingerprint's hash. Callers choose what is hashed, so it has to resist
// collisions.
const fingerprintBytes = 16

// identify sets the request's fingerprint and what endpoints may crash under.
func (j *job) identify() {
	j.fingerprint = fingerprintOf(j)
	for _, p := range j.meta.SharedParts {
		j.suspects = append(j.suspects, ggscore.SuspectPart(p))
	}
	j.suspects = append(j.suspects, ggscore.SuspectRequest(j.fingerprint))
}

// fingerprintOf returns the fingerprint of a request. Tries of one request differ in their IDs, deadlines and
// positions in a stream, which are left out.
func fingerprintOf(j *job) ggscore.Fingerprint {
	h := sha256.New()
	addField(h, j.r.Method)
	addField(h, strings.ToLower(j.r.Host))
	addField(h, j.uri)
	for _, v := range j.meta.Work {
		addField(h, v)
	}
	_, _ = h.Write(j.body)
	return ggscore.Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// addField adds a text with its length, so that neighbouring fields can't be confused. A hash returns no errors.
func addField(h hash.Hash, s string) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(s)))
	_, _ = h.Write(n[:])
	_, _ = io.WriteString(h, s)
}
