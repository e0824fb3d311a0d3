package ggsexchange

import (
	"hash/maphash"

	ggscore "greengageslip/core"
)

// ringLength is the number of requests that a connection remembers. Copies of an answer arrive with the answers to the
// requests right after it.
const ringLength = 32

var ringSeed = maphash.MakeSeed() //nolint:gochecknoglobals // a constant of the process

// A requestRing has the hashes of the last requests of a connection. Two requests of one hash cost a connection.
type requestRing struct {
	hashes [ringLength]uint64
	next   int
}

// add records a request. One without an ID isn't recorded.
func (r *requestRing) add(id ggscore.RequestID) {
	if id == "" {
		return
	}
	r.hashes[r.next] = hashOf(id)
	r.next = (r.next + 1) % ringLength
}

// has reports whether a request was recorded.
func (r *requestRing) has(id ggscore.RequestID) bool {
	if id == "" {
		return false
	}
	h := hashOf(id)
	for _, o := range r.hashes {
		if o == h {
			return true
		}
	}
	return false
}

// hashOf returns a hash that isn't zero.
func hashOf(id ggscore.RequestID) uint64 { return maphash.String(ringSeed, string(id)) | 1 }
