package ggsedge

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsrecency"
	"greengageslip/io/ggslog"
)

var _ ggscore.OriginPeers = (*Edge)(nil)

// processCheckTimeout bounds the wait for an endpoint's report of its process: a connection and a call between regions.
const processCheckTimeout = 300 * time.Millisecond

// resumedRefused is the label of streams that aren't resumed, beside the sources of origins.
const resumedRefused = "refused"

const originMethod = "Placement.StreamOrigin"

// An OriginArgs asks what a VM knows of a stream's origin and its service's software versions.
type OriginArgs struct {
	Request string
	Service string
}

// An OriginReply is the RPC form of a ggscore.OriginReply.
type OriginReply struct {
	Known    bool
	Service  string
	Software string
	Sole     string
	Mixed    bool
}

// StreamOrigin returns what this VM knows of a stream's origin.
func (p *Placement) StreamOrigin(a *OriginArgs, r *OriginReply) error {
	k := p.edge.origins.Reply(ggscore.RequestID(a.Request), ggscore.Service(a.Service))
	r.Sole, r.Mixed = string(k.Sole), k.Mixed
	if k.Origin != nil {
		r.Known, r.Service, r.Software = true, string(k.Origin.Service), string(k.Origin.Software)
	}
	return nil
}

func (r *OriginReply) reply(id ggscore.RequestID) ggscore.OriginReply {
	k := ggscore.OriginReply{Sole: ggscore.SoftwareVersion(r.Sole), Mixed: r.Mixed}
	if r.Known {
		k.Origin = &ggscore.StreamOrigin{
			Request: id, Service: ggscore.Service(r.Service), Software: ggscore.SoftwareVersion(r.Software),
		}
	}
	return k
}

// LivePeers implements ggscore.OriginPeers.
func (e *Edge) LivePeers() []ggscore.VMID { return e.livePeers() }

// KnownPeers implements ggscore.OriginPeers.
func (e *Edge) KnownPeers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers)
}

// AskOrigin implements ggscore.OriginPeers.
func (e *Edge) AskOrigin(ctx context.Context, vm ggscore.VMID, id ggscore.RequestID, s ggscore.Service) (ggscore.OriginReply, error) {
	e.mu.Lock()
	p := e.peers[vm]
	e.mu.Unlock()
	if p == nil {
		return ggscore.OriginReply{}, &UnknownPeerError{VM: vm}
	}
	var r OriginReply
	if err := e.Calls.Call(ctx, p.controlAddr, originMethod, &OriginArgs{Request: string(id), Service: string(s)}, &r); err != nil {
		return ggscore.OriginReply{}, err
	}
	return r.reply(id), nil
}

// SendOrigins implements ggscore.OriginPeers.
func (e *Edge) SendOrigins(vm ggscore.VMID, os []ggscore.StreamOrigin) {
	e.mu.Lock()
	to := e.addrs([]ggscore.VMID{vm})
	e.mu.Unlock()
	e.logUnsent(e.Peers.SendOrigins(os, to))
}

// listComplete reports whether this VM's list of endpoints lacks none that another VM uses.
func (e *Edge) listComplete() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recency.Current(e.Now(), e.recencyView())
}

// inStep reports whether no VM can have read a list of endpoints that this VM hasn't, and this VM hasn't stood still since a time.
func (e *Edge) inStep(since time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	return e.recency.InStep(now, e.recencyView()) && !e.recency.StoodStillSince(now, since)
}

// recencyView returns what this VM knows of its peers and the list. Edge.mu is held.
func (e *Edge) recencyView() ggsrecency.View {
	v := ggsrecency.View{Peers: len(e.peers), ListedAt: e.listObserved, ReadAt: e.listReadTime, Behind: e.listProgress.Behind()}
	for _, p := range e.peers {
		if p.lastSeen.After(v.HeardAt) {
			v.HeardAt = p.lastSeen
		}
	}
	return v
}

// sameProcess reports whether an endpoint's process is the one that its entry names. The version of its software is known then.
func (e *Edge) sameProcess(ctx context.Context, i ggscore.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, processCheckTimeout)
	defer cancel()
	st, err := e.PlacementClient.Status(ctx, i.ID, i.Addr)
	same := err == nil && !i.StartedAt.IsZero() && st.StartedAt.UnixMilli() == i.StartedAt.UnixMilli()
	if !same {
		_ = level.Info(e.Log).Log("event", ggslog.EventProcessUnconfirmed, "endpoint", i.ID, "startedAt", i.StartedAt, "reported", st.StartedAt, "err", err)
	}
	return same
}

// confirmProcess reports whether a stream may begin or go on at the endpoint that was chosen, by the version of its software. A VM
// that isn't in step with its peers, or stood still meanwhile, asks the endpoint whether it is the process that the VM knows.
func (e *Edge) confirmProcess(ctx context.Context, j *job, i ggscore.Instance) bool {
	return !resumable(j) || e.inStep(j.chosenAt) || e.sameProcess(ctx, i)
}

// confirmOrigin reports whether a stream may go on before its first event is forwarded. If this VM stood still after it had chosen the
// endpoint, another process may have answered: a stream that was resumed is broken off then, and a new one isn't recorded.
func (e *Edge) confirmOrigin(ctx context.Context, j *job, i ggscore.Instance) bool {
	if j.committed || !j.events || !resumable(j) || !e.stoodStillSince(j.chosenAt) || e.sameProcess(ctx, i) {
		return true
	}
	j.unconfirmed = true
	return j.software == ""
}

// resumable reports whether a request is for a stream whose software version counts.
func resumable(j *job) bool {
	return j.route.Kind == ggscore.RouteStreaming && (j.route.Resumable || j.software != "")
}

// stoodStillSince reports whether this VM has stood still after a time.
func (e *Edge) stoodStillSince(at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recency.StoodStillSince(e.Now(), at)
}

// resolveOrigin finds the service and the software version at which a resumed stream may go on. If they
// aren't known, it sends the answer and returns false.
func (e *Edge) resolveOrigin(ctx context.Context, j *job) bool {
	if j.meta.Resumption == nil || j.route.Kind != ggscore.RouteStreaming {
		return true
	}
	o, source, err := e.origins.Resolve(ctx, j.route, j.service, j.resumes())
	if err != nil {
		e.metrics.resumed.WithLabelValues(resumedRefused).Inc()
		_ = level.Info(e.Log).Log("event", ggslog.EventStreamNotResumed, "request", j.meta.ID, "resumes", j.resumes(), "err", err)
		e.giveUp(ctx, j, err)
		return false
	}
	e.metrics.resumed.WithLabelValues(string(source)).Inc()
	j.service, j.software = o.Service, o.Software
	j.spec = e.paths.Load().Config.Services[j.service]
	return true
}

// recordOrigin records at which endpoint a stream begins or is resumed.
func (e *Edge) recordOrigin(j *job, i ggscore.Instance) {
	ids := []ggscore.RequestID{j.meta.ID}
	if id := j.resumes(); id != "" {
		ids = append(ids, id)
	}
	e.origins.Record(j.route, i, ids...)
}
