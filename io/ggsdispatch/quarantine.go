package ggsdispatch

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsquarantine"
)

// fingerprintBytes is the length of the hash in a fingerprint.
const fingerprintBytes = 16

// suspectOf returns the request as a suspect: its repetitions, under another ID or key, have the same content.
func suspectOf(r *ggscore.Request) ggscore.SuspectID {
	d := bodyDigest(r)
	h := sha256.Sum256(append([]byte(r.Service), d[:]...))
	return ggscore.SuspectRequest(ggscore.Fingerprint(hex.EncodeToString(h[:fingerprintBytes])))
}

// quarantined returns the failure of a request that crashes the endpoints that run it, nil for others. The
// caller holds d.mu.
func (d *Dispatcher) quarantined(now time.Time, r *ggscore.Request) *ggscore.Failure {
	var q *ggsquarantine.QuarantinedError
	if !errors.As(d.quarantine.Check(now, []ggscore.SuspectID{suspectOf(r)}, false), &q) {
		return nil
	}
	_ = level.Warn(d.parts.Log).Log("event", "quarantineRefused", "request", r.ID, "crashes", q.Crashes, "retryAfter", q.RetryAfter)
	return &ggscore.Failure{
		Kind: ggscore.FailureQuarantined, Outcome: ggscore.OutcomeNotRun, Detail: q.Error(), RetryAfter: q.RetryAfter,
	}
}

// recordSent records that a request is sent to an endpoint. recordEnd has to follow.
func (d *Dispatcher) recordSent(r *ggscore.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quarantine.RecordSent(d.parts.Clock(), []ggscore.SuspectID{suspectOf(r)})
}

// recordEnd records how a request ended that was sent at a time.
func (d *Dispatcher) recordEnd(r *ggscore.Request, id ggscore.EndpointID, sentAt time.Time, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, ids := d.parts.Clock(), []ggscore.SuspectID{suspectOf(r)}
	d.quarantine.RecordEnded(ids)
	var c *ggscore.CallError
	switch {
	case err == nil:
		d.quarantine.RecordAnswer(now, ids...)
		d.quarantine.RecordAlive(id, sentAt)
	case errors.As(err, &c) && c.Kind == ggscore.FailureBroken && errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE):
		// Each dispatcher has its own endpoints and counts for itself.
		_ = d.quarantine.RecordCrash(now, ggsquarantine.BrokenRequest{Endpoint: id, Suspects: ids})
	}
}
