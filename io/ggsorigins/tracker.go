package ggsorigins

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsorigin"
	"greengageslip/io/ggslog"
)

const (
	// minResumePeriod is how long after its beginning a stream may be resumed at least.
	minResumePeriod = 15 * time.Second
	// resumeTimeouts is the same in timeouts of the stream's route. A caller may have more time than the timeout of one
	// request.
	resumeTimeouts = 2
	// askTimeout bounds the wait for peers' records of a stream: a connection and a call between
	// regions, at a peer that is busy.
	askTimeout = 300 * time.Millisecond
)

// A Source is where a resumed stream's origin was found.
type Source string

// The sources.
const (
	SourceOwn   Source = "own"
	SourceSole  Source = "sole"
	SourcePeers Source = "peers"
)

// Options configures a Tracker. All fields are required.
type Options struct {
	Peers ggscore.OriginPeers
	// ListComplete reports whether this VM's list of endpoints lacks none that another VM uses.
	ListComplete func() bool
	Now          func() time.Time
	Log          log.Logger
}

// A Tracker knows where streams began. It is safe for concurrent use.
type Tracker struct {
	options Options

	mu      sync.Mutex
	origins *ggsorigin.Table
	census  *ggsorigin.Census
	// copied are the services of whose recent streams peers have copies.
	copied map[ggscore.Service]bool
	// timeouts are the longest timeouts of resumable streams by service, in all configurations.
	timeouts map[ggscore.Service]time.Duration
}

// NewTracker returns a Tracker without records.
func NewTracker(o Options) *Tracker {
	return &Tracker{
		options: o, origins: ggsorigin.NewTable(), census: ggsorigin.NewCensus(),
		copied: map[ggscore.Service]bool{}, timeouts: map[ggscore.Service]time.Duration{},
	}
}

// Reply returns what this VM knows of a stream's origin and of a service's software versions.
func (t *Tracker) Reply(id ggscore.RequestID, s ggscore.Service) ggscore.OriginReply {
	complete := t.options.ListComplete()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := ggscore.OriginReply{Mixed: t.census.Mixed(s)}
	if o, ok := t.origins.Find(id); ok {
		r.Origin = &o
	}
	r.Sole, _ = t.sole(s, complete)
	return r
}

// sole returns the only software version at which a stream of a service that may be resumed can have begun, if
// this VM knows it. Tracker.mu is held.
func (t *Tracker) sole(s ggscore.Service, listComplete bool) (ggscore.SoftwareVersion, bool) {
	if !listComplete {
		return "", false
	}
	return t.census.Sole(t.options.Now(), s, t.resumePeriod(s))
}

// resumePeriod returns how long after its beginning a stream of a service may be resumed. Tracker.mu is held.
func (t *Tracker) resumePeriod(s ggscore.Service) time.Duration {
	return max(minResumePeriod, resumeTimeouts*t.timeouts[s])
}

// ObserveRoutes follows the configurations' routes. Streams of earlier configurations may still be resumed.
func (t *Tracker) ObserveRoutes(rs []ggscore.Route) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range rs {
		r := &rs[i]
		if r.Kind != ggscore.RouteStreaming || !r.Resumable {
			continue
		}
		for _, g := range r.Targets {
			t.timeouts[g.Service] = max(t.timeouts[g.Service], r.Timeout)
		}
	}
}

// Mixed reports whether a service has several software versions.
func (t *Tracker) Mixed(s ggscore.Service) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.census.Mixed(s)
}

// Resolve returns the origin of a stream that is resumed on a route to a service, and where it was found. It returns a
// *ggsorigin.UnknownError if no VM knows it, and a *ggsorigin.ServiceError if the route no longer leads there.
func (t *Tracker) Resolve(
	ctx context.Context, route *ggscore.Route, s ggscore.Service, id ggscore.RequestID,
) (ggscore.StreamOrigin, Source, error) {
	o, source, err := t.find(ctx, route, s, id)
	if err == nil {
		err = ggsorigin.Check(route, o)
	}
	return o, source, err
}

func (t *Tracker) find(
	ctx context.Context, route *ggscore.Route, s ggscore.Service, id ggscore.RequestID,
) (ggscore.StreamOrigin, Source, error) {
	own := t.Reply(id, s)
	if own.Origin != nil {
		return *own.Origin, SourceOwn, nil
	}
	to := ggsorigin.Holders(id, t.options.Peers.LivePeers(), ggsorigin.Asked)
	if len(to) == 0 {
		o, err := ggsorigin.Decide(route, id, []ggscore.OriginReply{own})
		return o, SourceSole, err
	}
	replies := t.ask(ctx, to, id, s)
	if len(replies) > 0 {
		// Without a peer's reply, a version that serves alone for all that this VM knows may be an old one.
		replies = append(replies, own)
	}
	o, err := ggsorigin.Decide(route, id, replies)
	return o, SourcePeers, err
}

// ask asks VMs for a stream's origin, until one knows it, all have replied, or askTimeout.
func (t *Tracker) ask(ctx context.Context, to []ggscore.VMID, id ggscore.RequestID, s ggscore.Service) []ggscore.OriginReply {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	replies := make(chan *ggscore.OriginReply, len(to))
	for _, vm := range to {
		go func() {
			r, err := t.options.Peers.AskOrigin(ctx, vm, id, s)
			if err != nil {
				_ = level.Debug(t.options.Log).Log("event", ggslog.EventOriginUnasked, "peer", vm, "err", err)
				replies <- nil
				return
			}
			replies <- &r
		}()
	}
	var known []ggscore.OriginReply
	for range to {
		r := <-replies
		if r == nil {
			continue
		}
		known = append(known, *r)
		if r.Origin != nil {
			return known
		}
	}
	return known
}

// Record records that a stream of one or more requests begins or goes on at an endpoint, before its caller gets the
// first event. Peers get copies, unless every stream of the service has the same origin.
func (t *Tracker) Record(route *ggscore.Route, i ggscore.Instance, ids ...ggscore.RequestID) {
	os := make([]ggscore.StreamOrigin, 0, len(ids))
	for _, id := range ids {
		os = append(os, ggscore.StreamOrigin{Request: id, Service: i.Service, Software: i.Software})
	}
	t.send(t.record(route, i.Service, os, t.options.ListComplete()))
}

// record records origins, and returns those that peers have to get.
func (t *Tracker) record(route *ggscore.Route, s ggscore.Service, os []ggscore.StreamOrigin, listComplete bool) []ggscore.StreamOrigin {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	for _, o := range os {
		t.origins.Record(now, o)
	}
	_, sole := t.sole(s, listComplete)
	switch {
	case !sole && !t.copied[s]:
		os = t.origins.Recent(now, s, t.resumePeriod(s))
	case sole && len(route.Targets) == 1:
		os = nil
	}
	t.copied[s] = !sole
	return os
}

// ObserveList follows the endpoints' software versions. Once a service has got a second version, peers get copies of its
// recent records.
func (t *Tracker) ObserveList(list []ggscore.Instance) {
	t.mu.Lock()
	now := t.options.Now()
	mixed := t.census.Observe(now, list)
	var os []ggscore.StreamOrigin
	for _, s := range mixed {
		os = append(os, t.origins.Recent(now, s, t.resumePeriod(s))...)
		t.copied[s] = true
	}
	t.mu.Unlock()
	for _, s := range mixed {
		_ = level.Info(t.options.Log).Log("event", ggslog.EventSoftwareMixed, "service", s)
	}
	t.send(os)
}

// Observe records the origins of streams that peers began.
func (t *Tracker) Observe(os []ggscore.StreamOrigin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	for _, o := range os {
		t.origins.Record(now, o)
	}
}

// Len returns the number of records.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.origins.Len()
}

// send sends records to the peers that hold copies of them.
func (t *Tracker) send(os []ggscore.StreamOrigin) {
	if len(os) == 0 {
		return
	}
	live := t.options.Peers.LivePeers()
	copies := map[ggscore.VMID][]ggscore.StreamOrigin{}
	for _, o := range os {
		for _, vm := range ggsorigin.Holders(o.Request, live, ggsorigin.Copies) {
			copies[vm] = append(copies[vm], o)
		}
	}
	for vm, c := range copies {
		t.options.Peers.SendOrigins(vm, c)
	}
}
