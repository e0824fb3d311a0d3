package ggsedge

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsgossip"
	"greengageslip/io/ggslog"
)

// In a large deployment two VMs of each failure domain read the store's entries when
// they change, and the others have them from these. Read by each VM, the list of
// endpoints and the operators' entries were six in ten of the calls of the store of 69
// VMs: a runner that starts is a change.

const (
	// readerTries is how often a reader is asked for what a peer saw change, readerPause
	// the pause before it is asked again: it reads when it hears of it, as this VM does.
	readerTries = 3
	readerPause = 100 * time.Millisecond
	// readerTimeout bounds a question to a reader. One that doesn't answer is gone or
	// stands still; the store is asked then.
	readerTimeout = 300 * time.Millisecond
	// readerCheck is how often a VM looks whether it has become a reader.
	readerCheck = 500 * time.Millisecond
)

const (
	listMethod      = "Placement.List"
	operatorsMethod = "Placement.Operators"
)

// A ListArgs asks for the list of endpoints as a VM knows it.
type ListArgs struct{}

// A ListReply has the endpoints, without what they hold.
type ListReply struct {
	// Revision is that of the store up to which the list was read, Age the time since.
	Revision  uint64
	Age       time.Duration
	Endpoints []ListedEndpoint
}

// A ListedEndpoint is an endpoint of a ListReply.
type ListedEndpoint struct {
	ID       string
	Service  string
	Domain   string
	Addr     netip.AddrPort
	Slots    int
	Leaving  bool
	Born     time.Time
	Sequence uint64
	Models   []string
}

// List answers with the list of endpoints as this VM knows it.
func (p *Placement) List(_ *ListArgs, r *ListReply) error {
	e := p.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	r.Revision, r.Age = uint64(e.listRead), e.Now().Sub(e.listSeen)
	for _, i := range e.table.Instances("") {
		l := ListedEndpoint{
			ID: string(i.ID), Service: string(i.Service), Domain: string(i.Domain), Addr: i.Addr, Slots: i.Slots,
			Leaving: i.Leaving, Born: i.Born, Sequence: i.Sequence,
		}
		for _, m := range i.Models {
			l.Models = append(l.Models, string(m.Name))
		}
		r.Endpoints = append(r.Endpoints, l)
	}
	return nil
}

// instance returns the endpoint. What it holds beside its base models comes with beats.
func (l *ListedEndpoint) instance() ggscore.Instance {
	i := ggscore.Instance{
		ID: ggscore.EndpointID(l.ID), Service: ggscore.Service(l.Service), Domain: ggscore.Domain(l.Domain), Addr: l.Addr,
		Slots: l.Slots, Leaving: l.Leaving, Born: l.Born, Sequence: l.Sequence,
	}
	for _, m := range l.Models {
		i.Models = append(i.Models, ggscore.ResidentModel{Name: ggscore.BaseModel(m)})
	}
	return i
}

// An OperatorsArgs asks for the operators' entries that changed after a revision.
type OperatorsArgs struct{ Since uint64 }

// An OperatorsReply has them, and the revision up to which they were read.
type OperatorsReply struct {
	Revision uint64
	Entries  []StoredEntry
}

// Operators answers with the operators' entries that changed after a revision.
func (p *Placement) Operators(a *OperatorsArgs, r *OperatorsReply) error {
	e := p.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	r.Revision = uint64(e.operatorsRead)
	for _, n := range e.entries[e.options.Keys.Operators] {
		if uint64(n.Revision) > a.Since {
			r.Entries = append(r.Entries, StoredEntry{Key: string(n.Key), Value: n.Value, Revision: uint64(n.Revision)})
		}
	}
	return nil
}

// readers returns the VMs of this one's failure domain that follow the store for the
// others, by what is heard.
func (e *Edge) readers() []ggscore.VMID {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	domain, vms := []ggsgossip.Member{e.self()}, 1
	for vm, p := range e.peers {
		if now.Sub(p.heard) >= heardMaxAge {
			continue
		}
		vms++
		if p.domain == e.options.Domain {
			domain = append(domain, ggsgossip.Member{VM: vm, Domain: p.domain, Region: p.region, LinkMbps: p.link})
		}
	}
	return ggsgossip.Readers(domain, vms)
}

// watchers returns the number of VMs that follow the operators' entries, about.
func (e *Edge) watchers() int {
	return ggsgossip.Watchers(len(e.heardPeers())+1, len(e.options.Regions))
}

// reads reports whether this VM follows the store itself.
func (e *Edge) reads() bool { return slices.Contains(e.readers(), e.options.VM) }

// askReaders calls a method of the readers in turn until one answers with enough.
func (e *Edge) askReaders(ctx context.Context, method string, call func(ctx context.Context, addr netip.AddrPort) (enough bool, err error)) bool {
	for n := range readerTries {
		rs := e.readers()
		if slices.Contains(rs, e.options.VM) {
			return false
		}
		for _, vm := range rs {
			addr, ok := e.callsOf(vm)
			if !ok {
				continue
			}
			c, cancel := context.WithTimeout(ctx, readerTimeout)
			enough, err := call(c, addr)
			cancel()
			if err != nil {
				e.Calls.Forget(addr)
				_ = level.Info(e.Log).Log("event", ggslog.EventReaderFailed, "peer", vm, "method", method, "err", err)
			}
			if enough {
				return true
			}
		}
		if !pause(ctx, readerPause*time.Duration(n+1)) {
			return false
		}
	}
	return false
}

// callsOf returns where a peer is called.
func (e *Edge) callsOf(vm ggscore.VMID) (netip.AddrPort, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[vm]
	if p == nil {
		return netip.AddrPort{}, false
	}
	return p.calls, true
}

// listFromReader takes the list of endpoints from a reader that has read as much as a
// peer saw change.
func (e *Edge) listFromReader(ctx context.Context) bool {
	return e.askReaders(ctx, listMethod, func(c context.Context, addr netip.AddrPort) (bool, error) {
		var r ListReply
		if err := e.Calls.Call(c, addr, listMethod, &ListArgs{}, &r); err != nil {
			return false, errors.Wrap(err, "asking a reader for the list of endpoints")
		}
		e.mu.Lock()
		enough := ggscore.StoreRevision(r.Revision) >= e.listTold
		e.mu.Unlock()
		if enough {
			e.adoptList(ctx, &r)
		}
		return enough, nil
	})
}

// adoptList takes a reader's list. What endpoints were known to hold stays.
func (e *Edge) adoptList(ctx context.Context, r *ListReply) {
	e.mu.Lock()
	known := map[ggscore.EndpointID]ggscore.Instance{}
	for _, i := range e.table.Instances("") {
		known[i.ID] = i
	}
	e.mu.Unlock()
	list := make([]ggscore.Instance, 0, len(r.Endpoints))
	for n := range r.Endpoints {
		i := r.Endpoints[n].instance()
		if k, ok := known[i.ID]; ok && k.Born.Equal(i.Born) && k.Addr == i.Addr && len(k.Models) > 0 {
			i.Models = k.Models
		}
		list = append(list, i)
	}
	e.setList(ctx, list, ggscore.StoreRevision(r.Revision), r.Age)
}

// operatorsFromReader returns the operators' entries after a revision from a reader that
// has read as much as a peer saw change.
func (e *Edge) operatorsFromReader(ctx context.Context, at ggscore.StoreRevision) (es []ggscore.Entry, next ggscore.StoreRevision, ok bool) {
	ok = e.askReaders(ctx, operatorsMethod, func(c context.Context, addr netip.AddrPort) (bool, error) {
		var r OperatorsReply
		if err := e.Calls.Call(c, addr, operatorsMethod, &OperatorsArgs{Since: uint64(at)}, &r); err != nil {
			return false, errors.Wrap(err, "asking a reader for the operators' entries")
		}
		next = ggscore.StoreRevision(r.Revision)
		if e.operatorsBehind(next) {
			return false, nil
		}
		es = storedEntries(r.Entries)
		return true, nil
	})
	return es, next, ok
}

// operatorsBehind reports whether a peer saw a change of the operators' entries after a
// revision.
func (e *Edge) operatorsBehind(at ggscore.StoreRevision) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.operatorsTold > at
}

// storedEntries returns entries that a peer sent.
func storedEntries(ss []StoredEntry) []ggscore.Entry {
	es := make([]ggscore.Entry, 0, len(ss))
	for _, s := range ss {
		es = append(es, ggscore.Entry{Key: ggscore.Key(s.Key), Value: s.Value, Revision: ggscore.StoreRevision(s.Revision)})
	}
	return es
}
