package ggsorigins

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsorigin"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggsrecord"
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
	SourceStore Source = "store"
)

// Options configures a Tracker. Without a Store, nothing outlasts the VMs, and the fields that follow it aren't needed.
// All other fields are required.
type Options struct {
	VM    ggscore.VMID
	Peers ggscore.OriginPeers
	Store ggsrecord.Store
	// Register is the key of the register of software versions, and Journals the prefix of the VMs' journals of
	// streams.
	Register ggscore.Key
	Journals ggscore.Key
	// FirstStart is set if the deployment starts for the first time.
	FirstStart bool
	// RetryPause returns the pause after a number of consecutive failed calls of the store.
	RetryPause func(failures int) time.Duration
	// TimeOfDay is the clock that VMs compare.
	TimeOfDay func() time.Time
	// ListComplete reports whether this VM's list of endpoints lacks none that another VM uses.
	ListComplete func() bool
	Now          func() time.Time
	Log          log.Logger
}

// A Tracker knows where streams began. It is safe for concurrent use.
type Tracker struct {
	options Options
	// registerNotified and journalNotified wake the loops that maintain the register and the journal.
	registerNotified chan struct{}
	journalNotified  chan struct{}
	// reading is held while the register and the journals are read for resumed streams.
	reading chan struct{}

	mu      sync.Mutex
	origins *ggsorigin.Table
	census  *ggsorigin.Census
	// copied are the services of whose recent streams peers have copies.
	copied map[ggscore.Service]bool
	// timeouts are the longest timeouts of resumable streams by service, in all configurations.
	timeouts map[ggscore.Service]time.Duration
	stored   storedRegister
	// changes counts the changes of the services' versions. before has the version that was the only one before a
	// second one appeared.
	changes int
	before  map[ggscore.Service]ggscore.SoftwareVersion
	journal []journaled
	// journalsReadAt is when the journals were last read for a resumed stream.
	journalsReadAt time.Time
	// registerReads counts the readings of the register for resumed streams that have begun, and registerRead is the number of the
	// last one that succeeded.
	registerReads, registerRead int
}

// NewTracker returns a Tracker without records.
func NewTracker(o Options) *Tracker {
	return &Tracker{
		options: o, origins: ggsorigin.NewTable(), census: ggsorigin.NewCensus(),
		copied: map[ggscore.Service]bool{}, timeouts: map[ggscore.Service]time.Duration{},
		before: map[ggscore.Service]ggscore.SoftwareVersion{}, reading: make(chan struct{}, 1),
		registerNotified: make(chan struct{}, 1), journalNotified: make(chan struct{}, 1),
	}
}

// Run maintains the register and this VM's journal in the store until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	if t.options.Store == nil {
		return nil
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return t.maintainRegister(ctx) })
	g.Go(func() error { return t.maintainJournal(ctx) })
	return g.Wait()
}

// Reply returns what this VM knows of a stream's origin and of a service's software versions.
func (t *Tracker) Reply(id ggscore.RequestID, s ggscore.Service) ggscore.OriginReply {
	complete := t.options.ListComplete()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := ggscore.OriginReply{
		Mixed: t.census.MixedWithin(t.options.Now(), s, t.resumePeriod(s)) || len(t.stored.register[s]) > 1,
	}
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
	if v, ok := t.census.Sole(t.options.Now(), s, t.resumePeriod(s)); ok {
		return v, true
	}
	return t.storedSole(s)
}

// storedSole returns the version that the register lists alone, if it is that of the service's endpoints. Tracker.mu is held.
func (t *Tracker) storedSole(s ggscore.Service) (ggscore.SoftwareVersion, bool) {
	v, ok := t.stored.register.Sole(s)
	if !ok || !t.stored.current || !slices.Equal(t.census.Versions(s), []ggscore.SoftwareVersion{v}) {
		return "", false
	}
	return v, true
}

// Begin returns the software version at which a new stream of a route has to begin, empty for any.
func (t *Tracker) Begin(route *ggscore.Route, s ggscore.Service) ggscore.SoftwareVersion {
	if t.options.Store == nil || !resumable(route) {
		return ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.census.Mixed(s) {
		return ""
	}
	return t.stored.register.Begin(t.census, s, t.before[s])
}

// Announce records that a stream is sent to an endpoint, if its service may have several versions. It returns the version
// at which the request has to stay then, empty for any: the journal may be all that is left of the stream.
func (t *Tracker) Announce(route *ggscore.Route, i ggscore.Instance, id ggscore.RequestID) ggscore.SoftwareVersion {
	if t.options.Store == nil || !resumable(route) || !ggsorigin.Recordable(id) {
		return ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	if _, settled := t.census.Sole(now, i.Service, t.resumePeriod(i.Service)); settled {
		return ""
	}
	if !t.census.Mixed(i.Service) && len(t.stored.register[i.Service]) < 2 {
		return ""
	}
	t.journal = append(t.recentStreams(now, t.journal), journaled{
		origin: ggscore.StreamOrigin{Request: id, Service: i.Service, Software: i.Software}, at: now,
	})
	notify(t.journalNotified)
	return i.Software
}

func resumable(r *ggscore.Route) bool { return r.Kind == ggscore.RouteStreaming && r.Resumable }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
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
		if !resumable(r) {
			continue
		}
		for _, g := range r.Targets {
			if _, known := t.timeouts[g.Service]; !known {
				t.expireRegister()
			}
			t.timeouts[g.Service] = max(t.timeouts[g.Service], r.Timeout)
		}
	}
}

// Reread has the register read again, after the store has come back from an older copy.
func (t *Tracker) Reread() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireRegister()
}

// expireRegister has the register read again before it is relied on. Tracker.mu is held.
func (t *Tracker) expireRegister() {
	t.changes++
	t.stored.current = false
	notify(t.registerNotified)
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
	replies := t.ask(ctx, to, id, s)
	o, source, err := t.decide(route, id, own, replies, len(to))
	var unknown *ggsorigin.UnknownError
	if !errors.As(err, &unknown) || t.options.Store == nil {
		return o, source, err
	}
	if !t.readStored(ctx, s) {
		return o, source, err
	}
	own = t.storedReply(id, s)
	if own.Origin != nil {
		return *own.Origin, SourceStore, nil
	}
	o, err = ggsorigin.Decide(route, id, append(replies, own))
	return o, SourceStore, err
}

// decide decides on a stream's origin by what this VM and its peers know. A version that serves alone for all that they know may
// be an old one: they may be cut off together from the VMs at which streams begin. It counts if most VMs are live and most of the
// VMs that were asked have replied.
func (t *Tracker) decide(
	route *ggscore.Route, id ggscore.RequestID, own ggscore.OriginReply, replies []ggscore.OriginReply, asked int,
) (ggscore.StreamOrigin, Source, error) {
	known, live := t.options.Peers.KnownPeers(), len(t.options.Peers.LivePeers())
	source := SourcePeers
	switch {
	case known == 0:
		source = SourceSole
		replies = append(replies, own)
	case 2*(live+1) > known+1 && 2*len(replies) > asked:
		replies = append(replies, own)
	default:
		replies = records(replies)
	}
	o, err := ggsorigin.Decide(route, id, replies)
	return o, source, err
}

// records returns the replies that have a record of the stream.
func records(rs []ggscore.OriginReply) []ggscore.OriginReply {
	return slices.DeleteFunc(slices.Clone(rs), func(r ggscore.OriginReply) bool { return r.Origin == nil })
}

// storedReply is Reply right after the register was read: no stream has begun at a version that it doesn't list.
func (t *Tracker) storedReply(id ggscore.RequestID, s ggscore.Service) ggscore.OriginReply {
	r := t.Reply(id, s)
	t.mu.Lock()
	defer t.mu.Unlock()
	r.Sole, _ = t.storedSole(s)
	return r
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
	for _, id := range slices.DeleteFunc(ids, func(id ggscore.RequestID) bool { return !ggsorigin.Recordable(id) }) {
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
	versions := map[ggscore.Service][]ggscore.SoftwareVersion{}
	for s := range t.timeouts {
		versions[s] = t.census.Versions(s)
	}
	mixed := t.census.Observe(now, list)
	for s, vs := range versions {
		if slices.Equal(vs, t.census.Versions(s)) {
			continue
		}
		if len(vs) == 1 {
			t.before[s] = vs[0]
		}
		t.expireRegister()
	}
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
