package ggsconfig

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggsrpc"
)

// ServiceName is the net/rpc name under which a Service is registered.
const ServiceName = "Config"

// The methods of a Service.
const (
	methodHead    = ServiceName + ".Head"
	methodSection = ServiceName + ".Section"
)

// A PeerReader reads the document from other processes. Its failures are *PeerError.
type PeerReader interface {
	// Head returns the peer's head and true if its revision is higher than have's,
	// else false.
	Head(ctx context.Context, addr netip.AddrPort, have ggsdocument.Head) (ggsdocument.Head, bool, error)
	// Section returns the text of a section of the peer's head.
	Section(ctx context.Context, addr netip.AddrPort, d ggscore.Digest) ([]byte, error)
}

// HeadArgs is the argument of Service.Head: the revision of the caller's head. net/rpc
// requires exported argument and reply types.
type HeadArgs struct{ Have uint64 }

// HeadReply is the reply of Service.Head: the changes since HeadArgs.Have. It is empty
// unless Newer is set.
type HeadReply struct {
	Newer    bool
	Revision uint64
	Sections []SectionWire
	Sum      [32]byte
}

// SectionWire is a section's state on the wire.
type SectionWire struct {
	Name     string
	Digest   [32]byte
	Revision uint64
	By       string
	Change   string
}

// SectionArgs is the argument of Service.Section: the digest of a section's text.
type SectionArgs struct{ Digest [32]byte }

// SectionReply is the reply of Service.Section. Packed is the text compressed with gzip.
type SectionReply struct {
	Found  bool
	Packed []byte
}

// A HeadServer provides a head and its compressed sections. A Follower implements it.
type HeadServer interface {
	Head() ggsdocument.Head
	PackedSection(d ggscore.Digest) []byte
}

// A Service serves the document to other processes.
type Service struct{ server HeadServer }

// NewService returns a Service for a server's head and sections.
func NewService(s HeadServer) *Service { return &Service{server: s} }

// Head replies with the changes since the caller's head if the server's head is newer.
func (s *Service) Head(a *HeadArgs, r *HeadReply) error {
	h := s.server.Head()
	if uint64(h.Revision) > a.Have {
		*r = replyOf(h.Since(ggscore.Revision(a.Have)))
	}
	return nil
}

// Section replies with a section's compressed text.
func (s *Service) Section(a *SectionArgs, r *SectionReply) error {
	if t := s.server.PackedSection(a.Digest); t != nil {
		*r = SectionReply{Found: true, Packed: t}
	}
	return nil
}

// sectionIdleTimeout is the longest time without received bytes during a call of Section.
const sectionIdleTimeout = time.Second

// Peers reads the document from other processes over net/rpc.
type Peers struct{ pool *ggsrpc.Pool }

var _ PeerReader = (*Peers)(nil)

// NewPeers returns Peers that call through a pool.
func NewPeers(p *ggsrpc.Pool) *Peers { return &Peers{pool: p} }

// Head implements PeerReader.
func (p *Peers) Head(
	ctx context.Context, addr netip.AddrPort, have ggsdocument.Head,
) (ggsdocument.Head, bool, error) {
	h, newer, err := p.headSince(ctx, addr, have)
	var mismatch *ggsdocument.DeltaError
	if errors.As(err, &mismatch) {
		h, newer, err = p.headSince(ctx, addr, ggsdocument.Head{})
	}
	if err != nil {
		return ggsdocument.Head{}, false, &PeerError{Addr: addr, Cause: err}
	}
	return h, newer, nil
}

// Section implements PeerReader.
func (p *Peers) Section(ctx context.Context, addr netip.AddrPort, d ggscore.Digest) ([]byte, error) {
	var r SectionReply
	if err := p.pool.CallLong(ctx, sectionIdleTimeout, addr, methodSection, &SectionArgs{Digest: d}, &r); err != nil {
		return nil, &PeerError{Addr: addr, Cause: err}
	}
	if !r.Found {
		return nil, &PeerError{Addr: addr, Cause: &MissingSectionError{Digest: d}}
	}
	t, err := unpack(r.Packed)
	if err != nil {
		return nil, &PeerError{Addr: addr, Cause: err}
	}
	return t, nil
}

// headSince reads the changes since head have and returns the resulting head.
func (p *Peers) headSince(
	ctx context.Context, addr netip.AddrPort, have ggsdocument.Head,
) (ggsdocument.Head, bool, error) {
	var r HeadReply
	if err := p.pool.Call(ctx, addr, methodHead, &HeadArgs{Have: uint64(have.Revision)}, &r); err != nil {
		return ggsdocument.Head{}, false, err
	}
	if !r.Newer {
		return ggsdocument.Head{}, false, nil
	}
	h, err := have.Apply(deltaOf(&r))
	return h, err == nil, err
}

func deltaOf(r *HeadReply) ggsdocument.Delta {
	d := ggsdocument.Delta{
		Revision: ggscore.Revision(r.Revision),
		Sections: make(map[ggscore.SectionName]ggsdocument.SectionState, len(r.Sections)),
		Sum:      r.Sum,
	}
	for _, s := range r.Sections {
		d.Sections[ggscore.SectionName(s.Name)] = ggsdocument.SectionState{
			Digest:   s.Digest,
			Revision: ggscore.Revision(s.Revision),
			By:       s.By,
			Change:   ggsdocument.ChangeID(s.Change),
		}
	}
	return d
}

func replyOf(d ggsdocument.Delta) HeadReply {
	r := HeadReply{Newer: true, Revision: uint64(d.Revision), Sum: d.Sum}
	for n, s := range d.Sections {
		r.Sections = append(r.Sections, SectionWire{
			Name: string(n), Digest: s.Digest, Revision: uint64(s.Revision), By: s.By, Change: string(s.Change),
		})
	}
	return r
}
