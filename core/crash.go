package ggscore

import (
	"context"
	"net/netip"
	"strings"
	"time"
)

// A SuspectID identifies what requests under which endpoints crash may have in common: a shared part of
// their prompts, or that they are tries of one request.
type SuspectID string

// requestSuspect is the prefix of suspects that are requests. Parts of prompts have no colon.
const requestSuspect = "request:"

// SuspectPart returns a part of prompts as a suspect.
func SuspectPart(p PromptPart) SuspectID { return SuspectID(p) }

// SuspectRequest returns a request as a suspect.
func SuspectRequest(f Fingerprint) SuspectID { return SuspectID(requestSuspect + string(f)) }

// Request returns the fingerprint of a suspect that is a request.
func (s SuspectID) Request() (Fingerprint, bool) {
	f, ok := strings.CutPrefix(string(s), requestSuspect)
	if !ok {
		return "", false
	}
	return Fingerprint(f), true
}

// A Crash is the crash of an endpoint's process under a request, for one of the request's suspects.
type Crash struct {
	Suspect  SuspectID
	Endpoint EndpointID
	// StartedAt distinguishes the endpoint's process from others under the same identity.
	StartedAt time.Time
}

// A CrashReport is what a VM reports to its peers about suspects.
type CrashReport struct {
	VM      VMID
	Crashes []Crash
	// Uses are the VM's recent requests, by suspect.
	Uses map[SuspectID]SuspectUse
	// Withdrawn are crashes that the VM reported before, and that were none: the endpoint's process lives on.
	Withdrawn []Crash
	// AliveAt is when the processes of the withdrawn crashes are known to have lived.
	AliveAt time.Time
}

// A CrashReporter sends reports to all peers, or to one.
type CrashReporter interface {
	ReportCrashes(r CrashReport)
	ReportCrashesTo(vm VMID, r CrashReport)
}

// A CrashReader reads what the VM at an address knows of crashes. complete is false if that VM has just started and
// doesn't yet know what its own peers do.
type CrashReader interface {
	ReadCrashes(ctx context.Context, peer netip.AddrPort) (rs []CrashReport, complete bool, err error)
}

// A SuspectUse counts recent requests with a suspect.
type SuspectUse struct {
	// Sent counts sends to endpoints, Answered the answers that outlasted the time in which the suspect
	// crashes endpoints. Pending is the number of requests under way.
	Sent     int
	Answered int
	Pending  int
}
