package ggsclaims

import (
	"bytes"
	"encoding/binary"
	"io"
	"time"

	"greengageslip/core/ggsclaim"
)

// codecVersion is the first byte of a shard's value.
const codecVersion = 1

// maxClaims and maxTextBytes limit the memory that the decoder allocates for a corrupt value.
const (
	maxClaims    = 1 << 16
	maxTextBytes = 1 << 20
)

// encodeShard encodes a shard: the version, the number of claims, and for each claim its
// key, body hash, identifier, state, time in Unix milliseconds and result.
func encodeShard(s ggsclaim.Shard) []byte {
	b := []byte{codecVersion}
	b = binary.AppendUvarint(b, uint64(len(s.Claims)))
	for k, c := range s.Claims {
		b = append(b, k[:]...)
		b = append(b, c.Body[:]...)
		b = append(b, c.ID[:]...)
		b = append(b, byte(c.State))
		b = binary.AppendVarint(b, c.At.UnixMilli())
		b = appendResult(b, c.Result)
	}
	return b
}

func appendResult(b []byte, r ggsclaim.Result) []byte {
	kept := byte(0)
	if r.Kept {
		kept = 1
	}
	b = append(b, kept)
	b = binary.AppendUvarint(b, uint64(r.Status))
	b = appendBytes(b, []byte(r.ContentType))
	return appendBytes(b, r.Body)
}

func appendBytes(b, p []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(p)))
	return append(b, p...)
}

// decodeShard decodes a shard. An empty value is an empty shard. Any other value that
// can't be decoded completely is a *BadShardError, because a missing claim would allow a
// second dispatch.
func decodeShard(value []byte) (ggsclaim.Shard, error) {
	if len(value) == 0 {
		return ggsclaim.NewShard(nil), nil
	}
	d := decoder{in: bytes.NewReader(value)}
	if v := d.byte(); v != codecVersion {
		return ggsclaim.Shard{}, &BadShardError{Bytes: len(value), Detail: "version"}
	}
	n := d.uvarint(maxClaims)
	claims := make(map[ggsclaim.KeyHash]ggsclaim.Claim)
	for range n {
		var k ggsclaim.KeyHash
		var c ggsclaim.Claim
		d.fill(k[:])
		d.fill(c.Body[:])
		d.fill(c.ID[:])
		c.State = ggsclaim.State(d.byte())
		c.At = time.UnixMilli(d.varint())
		c.Result = d.result()
		if d.failed || c.State < ggsclaim.StateClaimed || c.State > ggsclaim.StateUnknown {
			return ggsclaim.Shard{}, &BadShardError{Bytes: len(value), Detail: "claim"}
		}
		claims[k] = c
	}
	if d.failed || d.in.Len() > 0 {
		return ggsclaim.Shard{}, &BadShardError{Bytes: len(value), Detail: "length"}
	}
	return ggsclaim.NewShard(claims), nil
}

type decoder struct {
	in     *bytes.Reader
	failed bool
}

func (d *decoder) byte() byte {
	b, err := d.in.ReadByte()
	d.check(err)
	return b
}

func (d *decoder) bytes() []byte {
	n := d.uvarint(maxTextBytes)
	if d.failed || n > uint64(d.in.Len()) {
		d.failed = true
		return nil
	}
	if n == 0 {
		return nil
	}
	p := make([]byte, n)
	d.fill(p)
	return p
}

func (d *decoder) check(err error) {
	if err != nil {
		d.failed = true
	}
}

func (d *decoder) fill(p []byte) {
	_, err := io.ReadFull(d.in, p)
	d.check(err)
}

func (d *decoder) result() ggsclaim.Result {
	r := ggsclaim.Result{Kept: d.byte() == 1}
	r.Status = int(d.uvarint(maxStatus))
	r.ContentType = string(d.bytes())
	r.Body = d.bytes()
	return r
}

func (d *decoder) uvarint(limit uint64) uint64 {
	n, err := binary.ReadUvarint(d.in)
	d.check(err)
	if n > limit {
		d.failed = true
		return 0
	}
	return n
}

func (d *decoder) varint() int64 {
	n, err := binary.ReadVarint(d.in)
	d.check(err)
	return n
}

// maxStatus is the highest HTTP status that the decoder accepts.
const maxStatus = 999
