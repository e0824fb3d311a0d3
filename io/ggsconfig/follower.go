package ggsconfig

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggstoml"
)

// The defaults of FollowerOptions.
const (
	defaultWatchers     = 2
	defaultWatchWait    = 20 * time.Second
	defaultPollInterval = time.Second
	defaultCallTimeout  = time.Second
)

// A FollowerStore is what a Follower needs of the platform's service.
type FollowerStore interface {
	ggscore.Reader
	ggscore.Watcher
}

// A Member is a live entry VM that serves the document to others.
type Member struct {
	VM     ggscore.VMID
	Domain ggscore.Domain
	Addr   netip.AddrPort
}

// A MemberLister lists the live entry VMs, as this process knows them.
type MemberLister interface {
	Members() []Member
}

// FollowerOptions says what a Follower works with. Zero durations and numbers
// take the defaults.
type FollowerOptions struct {
	Self    ggscore.VMID
	Domain  ggscore.Domain
	Store   FollowerStore
	Peers   PeerConfig
	Members MemberLister
	// PeersOnly says that this process serves no peers and never watches: it
	// polls the watchers of its domain. Store may then be nil.
	PeersOnly bool
	// Repair takes the head in force where the platform was restored from an
	// older copy; nil leaves it as it is.
	Repair EditorStore
	// Logger may be nil.
	Logger log.Logger
	// Watchers is the number of VMs in a domain that watch the platform.
	Watchers int
	// WatchWait is how long a watch waits; PollInterval is the mean time
	// between polls of peers; CallTimeout bounds every other call but readings of
	// sections, which may be long: Store and Peers bound the silence of these.
	WatchWait    time.Duration
	PollInterval time.Duration
	CallTimeout  time.Duration
}

// A Follower keeps a process on the latest revision of the document.
type Follower struct {
	options FollowerOptions
	current atomic.Pointer[ggscore.Document]

	mu    sync.Mutex
	rules *ggsdocument.Follower
	// packed holds the sections of the head in force for peers.
	packed map[ggscore.Digest]packedText
	subs   map[*subscription]struct{}
	state  FollowerState
}

var _ HeadServer = (*Follower)(nil)

// FollowerState is a Follower's state for dumps.
type FollowerState struct {
	Revision ggscore.Revision `json:"revision"`
	Watching bool             `json:"watching"`
	// PlatformAway says that the latest call of the platform failed.
	PlatformAway bool `json:"platformAway"`
	// From says whence the document in force came.
	From string `json:"from"`
	// Refused counts heads that were refused as lower or forked, Failed those
	// that couldn't be pulled or formed no valid document.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Unrepaired counts lower heads that the platform showed and that are no
	// earlier state of the head in force.
	Unrepaired int `json:"unrepaired"`
}

// A subscription hands the latest document to one subscriber.
type subscription struct{ documents chan *ggscore.Document }

// A source is where a head and its sections come from.
type source struct {
	name    string
	section func(ctx context.Context, d ggscore.Digest) ([]byte, error)
}

// NewFollower returns a Follower without a document.
func NewFollower(o FollowerOptions) *Follower {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	o.Watchers = cmp.Or(o.Watchers, defaultWatchers)
	o.WatchWait = cmp.Or(o.WatchWait, defaultWatchWait)
	o.PollInterval = cmp.Or(o.PollInterval, defaultPollInterval)
	o.CallTimeout = cmp.Or(o.CallTimeout, defaultCallTimeout)
	return &Follower{
		options: o,
		rules:   ggsdocument.NewFollower(ggstoml.Codec{}),
		packed:  map[ggscore.Digest]packedText{},
		subs:    map[*subscription]struct{}{},
	}
}

// Current returns the document in force, nil before there is one.
func (f *Follower) Current() *ggscore.Document { return f.current.Load() }

// Head returns the head in force.
func (f *Follower) Head() ggsdocument.Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rules.Head()
}

// PackedSection returns the compressed text of a section of the head in force,
// nil where the head has no such section.
func (f *Follower) PackedSection(d ggscore.Digest) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.packed[d]
}

// Run follows the document until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { f.watch(ctx); return nil })
	g.Go(func() error { f.poll(ctx); return nil })
	return g.Wait()
}

// State returns the state for dumps.
func (f *Follower) State() FollowerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state
	s.Revision = f.rules.Head().Revision
	return s
}

// Subscribe returns a channel that holds the latest document that was adopted
// and not yet received, beginning with the one in force. It is no longer fed
// once the context has ended.
func (f *Follower) Subscribe(ctx context.Context) <-chan *ggscore.Document {
	s := &subscription{documents: make(chan *ggscore.Document, 1)}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subs[s] = struct{}{}
	if d := f.rules.Current(); d != nil {
		s.documents <- d
	}
	context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subs, s)
	})
	return s.documents
}

// follow takes a head from a source and pulls what it lacks from there.
func (f *Follower) follow(ctx context.Context, h ggsdocument.Head, s source) error {
	missing, err := f.offer(h, s)
	if err != nil {
		return err
	}
	for _, d := range missing {
		t, err := s.section(ctx, d)
		if err == nil {
			err = f.deliver(d, t, s)
		}
		if err != nil {
			f.giveUp(h.Revision)
			return err
		}
	}
	return nil
}

func (f *Follower) offer(h ggsdocument.Head, s source) ([]ggscore.Digest, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	adopted, err := f.rules.Offer(h)
	if err != nil {
		f.refused(err, s)
		return nil, err
	}
	if adopted {
		f.publish(s)
	}
	return f.rules.Missing(), nil
}

func (f *Follower) deliver(d ggscore.Digest, text []byte, s source) error {
	var p packedText
	if !f.options.PeersOnly && ggsdocument.DigestOf(text) == d {
		p = pack(text)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if p != nil {
		f.packed[d] = p
	}
	adopted, err := f.rules.Deliver(d, text)
	if err != nil {
		f.refused(err, s)
		return err
	}
	if adopted {
		f.publish(s)
	}
	return nil
}

func (f *Follower) giveUp(r ggscore.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules.DropPending(r)
	f.state.Failed++
}

// dropPacked drops the sections that the head in force doesn't have. The
// caller holds f.mu.
func (f *Follower) dropPacked() {
	used := map[ggscore.Digest]bool{}
	for _, s := range f.rules.Head().Sections {
		used[s.Digest] = true
	}
	maps.DeleteFunc(f.packed, func(d ggscore.Digest, _ packedText) bool { return !used[d] })
}

// publish makes the rules' document the one in force. The caller holds f.mu.
func (f *Follower) publish(s source) {
	d := f.rules.Current()
	f.current.Store(d)
	f.state.From = s.name
	f.dropPacked()
	for u := range f.subs {
		select {
		case <-u.documents:
		default:
		}
		u.documents <- d
	}
	_ = f.options.Logger.Log("event", "documentAdopted", "revision", uint64(d.Revision), "from", s.name)
}

// refused counts and logs a head or section that was refused. The caller
// holds f.mu.
func (f *Follower) refused(err error, s source) {
	var lower *ggsdocument.LowerHeadError
	var forked *ggsdocument.ForkedHeadError
	event := "documentRefused"
	switch {
	case errors.As(err, &lower):
		event = "lowerHeadRefused"
		f.state.Refused++
	case errors.As(err, &forked):
		event = "forkedHeadRefused"
		f.state.Refused++
	default:
		f.state.Failed++
	}
	_ = f.options.Logger.Log("event", event, "from", s.name, "err", err)
}
