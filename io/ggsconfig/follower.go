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

// A FollowerStore is the part of the platform's service that a Follower uses.
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

// A MemberLister lists the entry VMs that this process knows as live.
type MemberLister interface {
	Members() []Member
}

// FollowerOptions holds a Follower's dependencies and limits. Zero durations and numbers
// select the defaults.
type FollowerOptions struct {
	Self    ggscore.VMID
	Domain  ggscore.Domain
	Store   FollowerStore
	Peers   PeerReader
	Members MemberLister
	// PeersOnly is set for a process that serves no peers and never watches the
	// platform. It polls the watchers of its domain, and Store may be nil.
	PeersOnly bool
	// Repair is the store to write the head in force back to after the platform was
	// restored from an older copy. A nil Repair disables the repair.
	Repair EditorStore
	// Logger may be nil.
	Logger log.Logger
	// Watchers is the number of VMs in a domain that watch the platform.
	Watchers int
	// WatchTimeout is the longest wait of one watch call for a change.
	WatchTimeout time.Duration
	// PollInterval is the mean time between polls of peers.
	PollInterval time.Duration
	// CallTimeout bounds every other call except reads of sections. These may take
	// long, so Store and Peers bound the time without received bytes instead.
	CallTimeout time.Duration
}

// A Follower keeps a process at the latest revision of the document.
type Follower struct {
	options FollowerOptions
	current atomic.Pointer[ggscore.Document]

	mu       sync.Mutex
	follower *ggsdocument.Follower
	// packed holds the compressed sections of the head in force, to serve to peers.
	packed        map[ggscore.Digest]packedText
	subscriptions map[*subscription]struct{}
	state         FollowerState
	// unreadable is the store's revision of the last head that couldn't be decoded.
	unreadable ggscore.StoreRevision
}

var _ HeadServer = (*Follower)(nil)

// FollowerState is a Follower's state for diagnostics.
type FollowerState struct {
	Revision ggscore.Revision `json:"revision"`
	Watching bool             `json:"watching"`
	// PlatformUnavailable is set if the latest call of the platform failed.
	PlatformUnavailable bool `json:"platformAway"`
	// From is the source of the document in force: a peer's VM or "platform".
	From string `json:"from"`
	// Refused counts heads that were refused as lower or forked.
	Refused int `json:"refused"`
	// Failed counts heads whose sections couldn't be read or formed no valid document.
	Failed int `json:"failed"`
	// Unrepaired counts lower heads read from the platform that aren't an earlier state
	// of the head in force.
	Unrepaired int `json:"unrepaired"`
	// Unreadable counts heads of the platform that couldn't be decoded.
	Unreadable int `json:"unreadable"`
}

// A subscription delivers the latest document to one subscriber.
type subscription struct{ documents chan *ggscore.Document }

// A source provides a head and its sections: the platform or a peer.
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
	o.WatchTimeout = cmp.Or(o.WatchTimeout, defaultWatchWait)
	o.PollInterval = cmp.Or(o.PollInterval, defaultPollInterval)
	o.CallTimeout = cmp.Or(o.CallTimeout, defaultCallTimeout)
	return &Follower{
		options:       o,
		follower:      ggsdocument.NewFollower(ggstoml.Codec{}),
		packed:        map[ggscore.Digest]packedText{},
		subscriptions: map[*subscription]struct{}{},
	}
}

// Current returns the document in force, or nil if none was adopted yet.
func (f *Follower) Current() *ggscore.Document { return f.current.Load() }

// Head returns the head in force.
func (f *Follower) Head() ggsdocument.Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.follower.Head()
}

// PackedSection returns the compressed text of a section of the head in force, or nil if
// the head has no section with this digest.
func (f *Follower) PackedSection(d ggscore.Digest) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.packed[d]
}

// Run follows the document until the context ends. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { f.watch(ctx); return nil })
	g.Go(func() error { f.poll(ctx); return nil })
	return g.Wait()
}

// State returns the current state for diagnostics.
func (f *Follower) State() FollowerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state
	s.Revision = f.follower.Head().Revision
	return s
}

// Subscribe returns a channel with a buffer of one. The channel first delivers the
// document in force, if any, then each adopted document; a newer document replaces one
// that wasn't received yet. Delivery stops when the context ends; the channel isn't closed.
func (f *Follower) Subscribe(ctx context.Context) <-chan *ggscore.Document {
	s := &subscription{documents: make(chan *ggscore.Document, 1)}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscriptions[s] = struct{}{}
	if d := f.follower.Current(); d != nil {
		s.documents <- d
	}
	context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subscriptions, s)
	})
	return s.documents
}

// follow offers a head to the state machine and reads the missing sections from the
// head's source.
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
			f.dropPending(h.Revision)
			return err
		}
	}
	return nil
}

func (f *Follower) offer(h ggsdocument.Head, s source) ([]ggscore.Digest, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	adopted, err := f.follower.Offer(h)
	if err != nil {
		f.recordRefusal(err, s)
		return nil, err
	}
	if adopted {
		f.publish(s)
	}
	return f.follower.Missing(), nil
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
	adopted, err := f.follower.Deliver(d, text)
	if err != nil {
		f.recordRefusal(err, s)
		return err
	}
	if adopted {
		f.publish(s)
	}
	return nil
}

func (f *Follower) dropPending(r ggscore.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.follower.DropPending(r)
	f.state.Failed++
}

// dropPacked removes compressed sections that aren't part of the head in force. The
// caller holds f.mu.
func (f *Follower) dropPacked() {
	used := map[ggscore.Digest]bool{}
	for _, s := range f.follower.Head().Sections {
		used[s.Digest] = true
	}
	maps.DeleteFunc(f.packed, func(d ggscore.Digest, _ packedText) bool { return !used[d] })
}

// publish puts the document of the state machine in force and sends it to subscribers.
// The caller holds f.mu.
func (f *Follower) publish(s source) {
	d := f.follower.Current()
	f.current.Store(d)
	f.state.From = s.name
	f.dropPacked()
	for u := range f.subscriptions {
		select {
		case <-u.documents:
		default:
		}
		u.documents <- d
	}
	_ = f.options.Logger.Log("event", "documentAdopted", "revision", uint64(d.Revision), "from", s.name)
}

// recordRefusal counts and logs a head or section that was refused. The caller holds f.mu.
func (f *Follower) recordRefusal(err error, s source) {
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
