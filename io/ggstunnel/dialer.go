package ggstunnel

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsegress"
	"greengageslip/io/ggslog"
)

const (
	// stagger is the time after which the next candidate is dialed beside the previous ones. It exceeds two round trips between regions.
	stagger = 150 * time.Millisecond
	// dialTimeout bounds a dial over all candidates.
	dialTimeout = 600 * time.Millisecond
	// maxUnreachable is the number of peers that must fail to connect to an endpoint until it
	// counts as down. Their own paths may be broken and they may not know it yet.
	maxUnreachable = 3
)

// Options configure a Dialer. All fields are required.
type Options struct {
	// Direct opens connections to endpoints, and Peers opens connections to peers.
	Direct ggscore.Dialer
	Peers  ggscore.Dialer
	Table  *ggsegress.Table
	// Now is a clock that advances while the VM is suspended.
	Now func() time.Time
	Log log.Logger
}

// A Dialer opens connections to endpoints, directly or through peers. It is safe for concurrent
// use.
type Dialer struct {
	options Options

	mu    sync.Mutex
	table *ggsegress.Table
	conns map[*conn]struct{}
	// checked are the times of the last checks of endpoints' paths, and suspects the endpoints
	// whose paths are to be checked.
	checked  map[netip.AddrPort]time.Time
	suspects map[netip.AddrPort]struct{}
	// isolated and blocked are the state of the table that was last reported to onChange.
	isolated bool
	blocked  int
	onChange func()
	// tunnels counts the tunnels that were opened.
	tunnels int64
}

var (
	_ ggscore.Dialer = (*Dialer)(nil)
	_ ggscore.Paths  = (*Dialer)(nil)
)

// NewDialer returns a Dialer. Run must run beside it.
func NewDialer(o Options) *Dialer {
	return &Dialer{
		options: o, table: o.Table, conns: map[*conn]struct{}{}, onChange: func() {},
		checked: map[netip.AddrPort]time.Time{}, suspects: map[netip.AddrPort]struct{}{},
	}
}

// OnChange sets the function that is called after paths broke or work again. No lock is held then.
func (d *Dialer) OnChange(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onChange = f
}

// Tunnels returns the number of tunnels that were opened.
func (d *Dialer) Tunnels() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tunnels
}

// Blocked implements ggscore.Paths.
func (d *Dialer) Blocked(addr netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Blocked(addr)
}

// Isolated implements ggscore.Paths.
func (d *Dialer) Isolated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Isolated()
}

// SetPeers implements ggscore.Paths.
func (d *Dialer) SetPeers(ps []ggscore.TunnelPeer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.SetPeers(ps)
}

// SetEndpoints implements ggscore.Paths.
func (d *Dialer) SetEndpoints(addrs []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.SetEndpoints(addrs)
	maps.DeleteFunc(d.checked, func(a netip.AddrPort, _ time.Time) bool { return !slices.Contains(addrs, a) })
}

// Dial implements ggscore.Dialer.
func (d *Dialer) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return d.dial(ctx, addr, false)
}

// Direct returns a Dialer that uses no tunnels. The state of the paths is learned from its
// connections too.
func (d *Dialer) Direct() ggscore.Dialer { return directDialer{d} }

type directDialer struct{ *Dialer }

// Dial implements ggscore.Dialer.
func (d directDialer) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	c, err := d.open(ctx, candidate{}, addr)
	if err == nil {
		d.record(ctx, addr, dialed{conn: c}, false)
	} else if !errors.Is(err, context.Canceled) {
		d.suspect(addr)
	}
	return c, err
}

// A candidate is one of the routes to an endpoint: the direct one, or through a peer.
type candidate struct {
	peer ggscore.TunnelPeer
}

func (c *candidate) direct() bool { return c.peer.VM == "" }

// A dialed is the result of dialing a candidate.
type dialed struct {
	candidate candidate
	conn      net.Conn
	err       error
}

// dial tries the candidates for an endpoint. The next one starts when the previous one has failed, or
// beside it after stagger. suspect is set if nothing arrives from the endpoint although requests
// wait for it: the direct dial then counts as failed if a peer connects first.
func (d *Dialer) dial(ctx context.Context, addr netip.AddrPort, suspect bool) (net.Conn, error) {
	cs := d.candidates(addr)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	r := race{dialer: d, addr: addr, suspect: suspect, results: make(chan dialed, len(cs))}
	c, err := r.run(ctx, cs)
	if c == nil || !r.directPending {
		cancel()
	}
	// Beside a peer's connection, the direct dial ends on its own: its result shows whether the
	// path works.
	go func() {
		defer cancel()
		r.drain(ctx)
	}()
	return c, err
}

func (d *Dialer) candidates(addr netip.AddrPort) []candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.table.Plan(d.options.Now(), addr)
	var cs []candidate
	if p.Direct {
		cs = append(cs, candidate{})
	}
	for _, n := range p.Peers {
		cs = append(cs, candidate{peer: n})
	}
	return cs
}

// A race is a dial over several candidates.
type race struct {
	dialer  *Dialer
	addr    netip.AddrPort
	suspect bool
	results chan dialed
	// pending is the number of dials in progress, unreachable the number of peers that failed to
	// connect to the endpoint.
	pending       int
	directPending bool
	unreachable   int
	directErr     error
}

// run returns the first connection, or the error of the direct dial.
func (r *race) run(ctx context.Context, cs []candidate) (net.Conn, error) {
	next := 0
	start := func() {
		if next >= len(cs) || r.unreachable >= maxUnreachable {
			return
		}
		n := cs[next]
		next++
		r.pending++
		r.directPending = r.directPending || n.direct()
		go func() {
			c, err := r.dialer.open(ctx, n, r.addr)
			r.results <- dialed{candidate: n, conn: c, err: err}
		}()
	}
	start()
	t := time.NewTicker(stagger)
	defer t.Stop()
	var last error
	for r.pending > 0 {
		select {
		case <-t.C:
			start()
		case g := <-r.results:
			r.record(ctx, g)
			if g.err == nil {
				return g.conn, nil
			}
			last = g.err
			if g.candidate.direct() && ctx.Err() != nil {
				return nil, g.err
			}
			start()
		}
	}
	if r.unreachable > 0 && r.directErr != nil {
		r.dialer.allFailed(r.addr)
	}
	if r.directErr != nil {
		last = r.directErr
	}
	return nil, &ggscore.UnreachableError{Addr: r.addr, Peers: next, Confirmed: r.unreachable > 0, Cause: last}
}

// record passes a result to the table.
func (r *race) record(ctx context.Context, g dialed) {
	r.pending--
	if g.candidate.direct() {
		r.directPending = false
		r.directErr = g.err
	}
	if unreachable(g.err) {
		r.unreachable++
	}
	overtaken := g.err == nil && !g.candidate.direct() && r.directPending && r.suspect
	r.dialer.record(ctx, r.addr, g, overtaken)
}

// drain records the results of the dials that are still in progress, and closes their connections.
func (r *race) drain(ctx context.Context) {
	for r.pending > 0 {
		g := <-r.results
		r.record(ctx, g)
		if g.conn != nil {
			_ = g.conn.Close()
		}
	}
}

// record passes a result to the table. A dial that ended because the caller left says nothing.
// overtaken is set if the direct dial is to count as failed beside a peer's connection.
func (d *Dialer) record(ctx context.Context, addr netip.AddrPort, g dialed, overtaken bool) {
	if g.err != nil && (errors.Is(ctx.Err(), context.Canceled) || errors.Is(g.err, context.Canceled)) {
		return
	}
	d.mu.Lock()
	now := d.options.Now()
	switch {
	case g.candidate.direct() && g.err == nil:
		d.table.DirectConnected(now, addr)
	case g.candidate.direct():
		d.table.DirectFailed(now, addr)
	case g.err == nil:
		d.tunnels++
		d.table.PeerConnected(now, addr, g.candidate.peer.VM)
		if overtaken {
			d.table.DirectFailed(now, addr)
		}
	case peerFailed(g.err):
		d.table.PeerFailed(now, g.candidate.peer.VM)
	default:
		d.table.PeerUnavailable(now, g.candidate.peer.VM)
	}
	d.mu.Unlock()
	d.reportChanges()
}

func (d *Dialer) allFailed(addr netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.AllFailed(d.options.Now(), addr)
}

// reportChanges reports that paths have broken or work again.
func (d *Dialer) reportChanges() {
	d.mu.Lock()
	isolated, blocked := d.table.Isolated(), d.table.BlockedCount()
	changed := isolated != d.isolated || blocked != d.blocked
	d.isolated, d.blocked = isolated, blocked
	f := d.onChange
	d.mu.Unlock()
	if !changed {
		return
	}
	_ = level.Info(d.options.Log).Log("event", ggslog.EventPathsChanged, "blocked", blocked, "isolated", isolated)
	f()
}

// open opens a connection to an endpoint by one candidate.
func (d *Dialer) open(ctx context.Context, k candidate, addr netip.AddrPort) (net.Conn, error) {
	c, err := d.dialCandidate(ctx, k, addr)
	if err != nil {
		return nil, err
	}
	n := &conn{Conn: c, dialer: d, addr: addr, peer: k.peer.VM}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[n] = struct{}{}
	return n, nil
}

func (d *Dialer) dialCandidate(ctx context.Context, k candidate, addr netip.AddrPort) (net.Conn, error) {
	if k.direct() {
		return d.options.Direct.Dial(ctx, addr)
	}
	c, err := d.options.Peers.Dial(ctx, k.peer.Addr)
	if err != nil {
		return nil, err
	}
	n, err := connect(ctx, c, k.peer.VM, addr)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return n, nil
}

// suspect has the path to an endpoint checked.
func (d *Dialer) suspect(addr netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspects[addr] = struct{}{}
}

func (d *Dialer) forget(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, c)
}

func (d *Dialer) usable(c *conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.peer == "" {
		return !d.table.Blocked(c.addr)
	}
	return d.table.Tunneled(c.addr) && d.table.PeerAvailable(d.options.Now(), c.peer)
}
