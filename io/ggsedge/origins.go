package ggsedge

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsorigin"
	"greengageslip/io/ggslog"
)

const (
	// resumePeriod is how long after its beginning a stream of which no VM has a record may be resumed.
	// It exceeds the time that streams take.
	resumePeriod = 15 * time.Second
	// originTimeout bounds the wait for peers' records of a stream: a connection and a call between
	// regions, at a peer that is busy.
	originTimeout = 300 * time.Millisecond
	// soleListAge is the age of the list of endpoints up to which it counts as complete.
	soleListAge = 3 * time.Second
)

const originMethod = "Placement.StreamOrigin"

// An OriginArgs asks what a VM knows of a stream's origin and its service's software versions.
type OriginArgs struct {
	Request string
	Service string
}

// An OriginReply is the RPC form of a ggsorigin.Reply.
type OriginReply struct {
	Known    bool
	Service  string
	Software string
	Sole     string
	Mixed    bool
}

// StreamOrigin returns what this VM knows of a stream's origin.
func (p *Placement) StreamOrigin(a *OriginArgs, r *OriginReply) error {
	p.edge.mu.Lock()
	defer p.edge.mu.Unlock()
	k := p.edge.originReply(ggscore.RequestID(a.Request), ggscore.Service(a.Service))
	r.Sole, r.Mixed = string(k.Sole), k.Mixed
	if k.Origin != nil {
		r.Known, r.Service, r.Software = true, string(k.Origin.Service), string(k.Origin.Software)
	}
	return nil
}

func (r *OriginReply) reply(id ggscore.RequestID) ggsorigin.Reply {
	k := ggsorigin.Reply{Sole: ggscore.SoftwareVersion(r.Sole), Mixed: r.Mixed}
	if r.Known {
		k.Origin = &ggscore.StreamOrigin{
			Request: id, Service: ggscore.Service(r.Service), Software: ggscore.SoftwareVersion(r.Software),
		}
	}
	return k
}

// originReply returns what this VM knows of a stream's origin. Edge.mu is held.
func (e *Edge) originReply(id ggscore.RequestID, s ggscore.Service) ggsorigin.Reply {
	r := ggsorigin.Reply{Mixed: e.census.Mixed(s)}
	if o, ok := e.origins.Find(id); ok {
		r.Origin = &o
	}
	r.Sole, _ = e.soleVersion(s)
	return r
}

// soleVersion returns the only software version at which a stream of a service that may be resumed can
// have begun, if this VM knows it. Edge.mu is held.
func (e *Edge) soleVersion(s ggscore.Service) (ggscore.SoftwareVersion, bool) {
	if !e.listComplete() {
		return "", false
	}
	return e.census.Sole(e.Now(), s, resumePeriod)
}

// listComplete reports whether this VM's list of endpoints lacks none that another VM uses: the list is
// young, and a live peer would announce a change. Edge.mu is held.
func (e *Edge) listComplete() bool {
	return e.Now().Sub(e.listObserved) < soleListAge && (len(e.peers) == 0 || len(e.livePeersLocked()) > 0)
}

// resolveOrigin finds the service and the software version at which a resumed stream may go on. If they
// aren't known, it sends the answer and returns false.
func (e *Edge) resolveOrigin(ctx context.Context, j *job) bool {
	if j.meta.Resumption == nil || j.route.Kind != ggscore.RouteStreaming {
		return true
	}
	o, source, err := e.streamOrigin(ctx, j)
	if err == nil {
		err = ggsorigin.Check(j.route, o)
	}
	if err != nil {
		e.metrics.resumed.WithLabelValues(resumedRefused).Inc()
		_ = level.Info(e.Log).Log("event", ggslog.EventStreamNotResumed, "request", j.meta.ID, "resumes", j.resumes(), "err", err)
		e.giveUp(ctx, j, err)
		return false
	}
	e.metrics.resumed.WithLabelValues(source).Inc()
	j.service, j.software = o.Service, o.Software
	j.spec = e.paths.Load().Config.Services[j.service]
	return true
}

// Sources of a resumed stream's origin, as labels of a metric.
const (
	resumedOwn     = "own"
	resumedSole    = "sole"
	resumedPeers   = "peers"
	resumedRefused = "refused"
)

// streamOrigin returns the origin of the stream that a request resumes, and where it was found.
func (e *Edge) streamOrigin(ctx context.Context, j *job) (o ggscore.StreamOrigin, source string, err error) {
	id := j.resumes()
	e.mu.Lock()
	own := e.originReply(id, j.service)
	to := e.holderAddrs(id, ggsorigin.Asked)
	e.mu.Unlock()
	if own.Origin != nil {
		return *own.Origin, resumedOwn, nil
	}
	if len(to) == 0 {
		o, err = ggsorigin.Decide(j.route, id, []ggsorigin.Reply{own})
		return o, resumedSole, err
	}
	a := OriginArgs{Request: string(id), Service: string(j.service)}
	replies := e.askOrigin(ctx, &a, to)
	if len(replies) > 0 {
		// Without a peer's reply, a version that serves alone for all that this VM knows may be an old one.
		replies = append(replies, own)
	}
	o, err = ggsorigin.Decide(j.route, id, replies)
	return o, resumedPeers, err
}

// askOrigin asks VMs for a stream's origin, until one knows it, all have replied, or originTimeout.
func (e *Edge) askOrigin(ctx context.Context, a *OriginArgs, to []peerAddrs) []ggsorigin.Reply {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	replies := make(chan *OriginReply, len(to))
	for _, addr := range to {
		go func() {
			r := &OriginReply{}
			if err := e.Calls.Call(ctx, addr.control, originMethod, a, r); err != nil {
				_ = level.Debug(e.Log).Log("event", ggslog.EventOriginUnasked, "peer", addr.control, "err", err)
				r = nil
			}
			replies <- r
		}()
	}
	var known []ggsorigin.Reply
	for range to {
		r := <-replies
		if r == nil {
			continue
		}
		known = append(known, r.reply(ggscore.RequestID(a.Request)))
		if r.Known {
			return known
		}
	}
	return known
}

// peerAddrs are the addresses of a peer for calls and for datagrams.
type peerAddrs struct{ control, datagram netip.AddrPort }

// holderAddrs returns the first live peers that hold a request's record. Edge.mu is held.
func (e *Edge) holderAddrs(id ggscore.RequestID, n int) []peerAddrs {
	var as []peerAddrs
	for _, vm := range ggsorigin.Holders(id, e.livePeersLocked(), n) {
		as = append(as, peerAddrs{control: e.peers[vm].controlAddr, datagram: e.peers[vm].datagramAddr})
	}
	return as
}

// recordOrigin records at which endpoint a stream begins or is resumed, before the caller gets its first
// event. Peers get copies, unless every stream of the service has the same origin.
func (e *Edge) recordOrigin(j *job, i *ggscore.Instance) {
	os := []ggscore.StreamOrigin{{Request: j.meta.ID, Service: i.Service, Software: i.Software}}
	if id := j.resumes(); id != "" {
		os = append(os, ggscore.StreamOrigin{Request: id, Service: i.Service, Software: i.Software})
	}
	e.mu.Lock()
	now := e.Now()
	for _, o := range os {
		e.origins.Record(now, o)
	}
	_, sole := e.soleVersion(i.Service)
	switch {
	case !sole && !e.copied[i.Service]:
		os = e.origins.Recent(now, i.Service, resumePeriod)
	case sole && len(j.route.Targets) == 1:
		os = nil
	}
	e.copied[i.Service] = !sole
	copies := e.originCopies(os)
	e.mu.Unlock()
	e.sendOrigins(copies)
}

// originCopies groups records by the addresses of the peers that hold copies. Edge.mu is held.
func (e *Edge) originCopies(os []ggscore.StreamOrigin) map[netip.AddrPort][]ggscore.StreamOrigin {
	copies := map[netip.AddrPort][]ggscore.StreamOrigin{}
	for _, o := range os {
		for _, a := range e.holderAddrs(o.Request, ggsorigin.Copies) {
			copies[a.datagram] = append(copies[a.datagram], o)
		}
	}
	return copies
}

// observeSoftware follows the endpoints' software versions. It returns the copies of records that
// become necessary because a service has got a second version. Edge.mu is held.
func (e *Edge) observeSoftware(list []ggscore.Instance) map[netip.AddrPort][]ggscore.StreamOrigin {
	now := e.Now()
	var os []ggscore.StreamOrigin
	for _, s := range e.census.Observe(now, list) {
		_ = level.Info(e.Log).Log("event", ggslog.EventSoftwareMixed, "service", s)
		os = append(os, e.origins.Recent(now, s, resumePeriod)...)
		e.copied[s] = true
	}
	return e.originCopies(os)
}

func (e *Edge) sendOrigins(copies map[netip.AddrPort][]ggscore.StreamOrigin) {
	for to, os := range copies {
		e.logUnsent(e.Peers.SendOrigins(os, []netip.AddrPort{to}))
	}
}

// receiveOrigins records the origins of streams that peers began.
func (e *Edge) receiveOrigins(os []ggscore.StreamOrigin) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	for _, o := range os {
		e.origins.Record(now, o)
	}
}
