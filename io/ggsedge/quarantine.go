package ggsedge

import (
	"context"
	"io"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsplace"
	"greengageslip/core/ggsquarantine"
	"greengageslip/io/ggslog"
)

var (
	_ ggscore.CrashReporter = (*Edge)(nil)
	_ ggscore.CrashReader   = (*Edge)(nil)
)

// begins reports whether an answer has not begun, or so lately that a crash may be the request's doing.
func (e *Edge) begins(j *job) bool {
	return !j.committed || e.since(j.arrived)-j.firstChunkAfter <= beginPeriod
}

// recordAnsweredParts records a success that is complete or no longer begins.
func (e *Edge) recordAnsweredParts(j *job) {
	if j.answeredParts {
		return
	}
	j.answeredParts = true
	e.crashes.Answered(j.parts()...)
}

// parts returns the suspects that are parts of the request's prompt.
func (j *job) parts() []ggscore.SuspectID { return j.suspects[:len(j.meta.SharedParts)] }

// beginPeriod is the time after an answer's first chunk in which a crash may be the request's doing.
const beginPeriod = 250 * time.Millisecond

// recordCrash records that an endpoint's connection broke before the request was answered, or that the request
// was given up. Parts of prompts crash endpoints only as the answer begins.
func (e *Edge) recordCrash(j *job, i *ggscore.Instance, err error) {
	b := ggsquarantine.BrokenRequest{Endpoint: i.ID, StartedAt: i.StartedAt, Suspects: j.suspects}
	if !connectionBroke(err) {
		e.crashes.Abandoned(j.sentAt, b)
		return
	}
	j.crashed = true
	if !e.begins(j) {
		b.Suspects = b.Suspects[len(j.parts()):]
	}
	e.crashes.Crashed(b, j.suspects...)
	j.ended = true
	if j.spec.Engine != nil {
		e.requestCheck(*i)
	}
}

const (
	// checkers is the number of endpoints that are asked at a time whether their processes live on.
	checkers = 4
	// maxChecks bounds the endpoints that wait to be asked.
	maxChecks = 64
	// checkDelay is the time after the end of a connection until its endpoint is asked. A process that crashes has
	// closed its other sockets by then.
	checkDelay = 20 * time.Millisecond
)

// severalServe reports whether a service has other endpoints beside one that a half-open try may crash.
func (e *Edge) severalServe(s ggscore.Service) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.table.Instances(s)) > 1
}

// requestCheck has an endpoint asked whether its process lives on, unless it waits to be asked already.
func (e *Edge) requestCheck(i ggscore.Instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checking[i.ID] {
		return
	}
	select {
	case e.checks <- i:
		e.checking[i.ID] = true
	default:
	}
}

// checkProcesses asks endpoints under whose requests connections ended whether their processes live on.
func (e *Edge) checkProcesses(ctx context.Context) error {
	for {
		select {
		case i := <-e.checks:
			if !pause(ctx, checkDelay) {
				return nil
			}
			e.checkProcess(ctx, i)
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *Edge) checkProcess(ctx context.Context, i ggscore.Instance) {
	e.mu.Lock()
	delete(e.checking, i.ID)
	asked := e.Now()
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st, err := e.PlacementClient.Status(ctx, i.ID, i.Addr)
	if err != nil || st.StartedAt.IsZero() {
		// What isn't shown to live on counts as crashed.
		_ = level.Info(e.Log).Log("event", ggslog.EventStatusFailed, "endpoint", i.ID, "err", err)
		return
	}
	if st.StartedAt.Equal(i.StartedAt) {
		e.crashes.EndpointRuns(i.ID, st.StartedAt, asked)
	}
}

// recordGone records the endpoints' processes that are gone without having announced it.
func (e *Edge) recordGone(c ggsplace.Change) {
	for _, i := range slices.Concat(c.Removed, c.Restarted) {
		if !i.Leaving {
			e.crashes.EndpointGone(i.ID, i.StartedAt)
		}
	}
}

// connectionBroke reports whether an error is the end of an endpoint's connection.
func connectionBroke(err error) bool {
	var truncated *TruncatedStreamError
	var caller *CallerError
	if errors.As(err, &caller) {
		return false
	}
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE) || errors.As(err, &truncated)
}

// ReportCrashes implements ggscore.CrashReporter.
func (e *Edge) ReportCrashes(r ggscore.CrashReport) {
	e.mu.Lock()
	to := make([]netip.AddrPort, 0, len(e.peers))
	for _, p := range e.peers {
		to = append(to, p.datagramAddr)
	}
	e.mu.Unlock()
	e.logUnsent(e.Peers.SendCrashes(r, to))
}

// ReportCrashesTo implements ggscore.CrashReporter.
func (e *Edge) ReportCrashesTo(vm ggscore.VMID, r ggscore.CrashReport) {
	e.mu.Lock()
	to := e.addrs([]ggscore.VMID{vm})
	e.mu.Unlock()
	e.logUnsent(e.Peers.SendCrashes(r, to))
}

const crashesMethod = "Placement.Crashes"

// A CrashesArgs requests what a VM knows of requests that crash endpoints.
type CrashesArgs struct{}

// A CrashesReply has what a VM knows of requests that crash endpoints.
type CrashesReply struct {
	// Complete is false if the VM has just started and doesn't know yet what its peers do.
	Complete bool
	Reports  []CrashesReport
}

// A CrashesReport has the crashes under one suspect, and the suspect's uses at all VMs.
type CrashesReport struct {
	Suspect        string
	Crashes        []KnownCrash
	Sent, Answered int
}

// A KnownCrash is the RPC form of a ggscore.Crash. StartedAt is the Unix time in milliseconds.
type KnownCrash struct {
	Endpoint  string
	StartedAt int64
}

// Crashes returns what this VM knows of requests that crash endpoints.
func (p *Placement) Crashes(_ *CrashesArgs, r *CrashesReply) error {
	var rs []ggscore.CrashReport
	rs, r.Complete = p.edge.crashes.Known()
	for _, o := range rs {
		r.Reports = append(r.Reports, crashesReportOf(o))
	}
	return nil
}

// crashesReportOf returns the RPC form of a report on one suspect.
func crashesReportOf(o ggscore.CrashReport) CrashesReport {
	id := o.Crashes[0].Suspect
	w := CrashesReport{Suspect: string(id), Sent: o.Uses[id].Sent, Answered: o.Uses[id].Answered}
	for _, k := range o.Crashes {
		w.Crashes = append(w.Crashes, KnownCrash{Endpoint: string(k.Endpoint), StartedAt: k.StartedAt.UnixMilli()})
	}
	return w
}

func (w *CrashesReport) report() ggscore.CrashReport {
	id := ggscore.SuspectID(w.Suspect)
	o := ggscore.CrashReport{Uses: map[ggscore.SuspectID]ggscore.SuspectUse{id: {Sent: w.Sent, Answered: w.Answered}}}
	for _, k := range w.Crashes {
		o.Crashes = append(o.Crashes, ggscore.Crash{Suspect: id, Endpoint: ggscore.EndpointID(k.Endpoint), StartedAt: time.UnixMilli(k.StartedAt)})
	}
	return o
}

// ReadCrashes implements ggscore.CrashReader.
func (e *Edge) ReadCrashes(ctx context.Context, peer netip.AddrPort) ([]ggscore.CrashReport, bool, error) {
	var r CrashesReply
	if err := e.Calls.Call(ctx, peer, crashesMethod, &CrashesArgs{}, &r); err != nil {
		return nil, false, err
	}
	rs := make([]ggscore.CrashReport, 0, len(r.Reports))
	for i := range r.Reports {
		rs = append(rs, r.Reports[i].report())
	}
	return rs, r.Complete, nil
}
