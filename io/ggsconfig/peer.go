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

// ServiceName is the name that a Service is registered under.
const ServiceName = "Config"

// The methods of a Service.
const (
	methodHead    = ServiceName + ".Head"
	methodSection = ServiceName + ".Section"
)

// A PeerConfig asks other processes for the document. Their failures are
// *PeerError.
type PeerConfig interface {
	// Head returns the peer's head if it is later than the caller's, else false.
	Head(ctx context.Context, addr netip.AddrPort, have ggsdocument.Head) (ggsdocument.Head, bool, error)
	// Section returns the text of a section of the peer's head.
	Section(ctx context.Context, addr netip.AddrPort, d ggscore.Digest) ([]byte, error)
}

// HeadArgs asks for a head. It is exported since net/rpc asks for it.
type HeadArgs struct{ Have uint64 }

// HeadReply answers HeadArgs with what changed since; it is empty unless Newer
// is set.
type HeadReply struct {
	Newer    bool
	Revision uint64
	Sections []SectionWire
	Sum      [32]byte
}

// SectionWire is a section's state as it crosses processes.
type SectionWire struct {
	Name     string
	Digest   [32]byte
	Revision uint64
	By       string
	Change   string
}

// SectionArgs asks for a section's text.
type SectionArgs struct{ Digest [32]byte }

// SectionReply answers SectionArgs. Packed is the text, compressed by gzip.
type SectionReply struct {
	Found  bool
	Packed []byte
}

// A HeadServer has a head and its sections; a Follower is one.
type HeadServer interface {
	Head() ggsdocument.Head
	PackedSection(d ggscore.Digest) []byte
}

// A Service serves the document to other processes.
type Service struct{ server HeadServer }

// NewService returns a Service of what a server has.
func NewService(s HeadServer) *Service { return &Service{server: s} }

// Head answers with the head if it is newer than the caller's.
func (s *Service) Head(a *HeadArgs, r *HeadReply) error {
	h := s.server.Head()
	if uint64(h.Revision) > a.Have {
		*r = replyOf(h.Since(ggscore.Revision(a.Have)))
	}
	return nil
}

// Section answers with a section's text.
func (s *Service) Section(a *SectionArgs, r *SectionReply) error {
	if t := s.server.PackedSection(a.Digest); t != nil {
		*r = SectionReply{Found: true, Packed: t}
	}
	return nil
}

// sectionSilence is how long a peer that is asked for a section may send nothing.
const sectionSilence = time.Second

// Peers asks other processes over net/rpc.
type Peers struct{ pool *ggsrpc.Pool }

var _ PeerConfig = (*Peers)(nil)

// NewPeers returns Peers that call through a pool.
func NewPeers(p *ggsrpc.Pool) *Peers { return &Peers{pool: p} }

// Head implements PeerConfig.
func (p *Peers) Head(
	ctx context.Context, addr netip.AddrPort, have ggsdocument.Head,
) (ggsdocument.Head, bool, error) {
	h, newer, err := p.since(ctx, addr, have)
	var fork *ggsdocument.DeltaError
	if errors.As(err, &fork) {
		h, newer, err = p.since(ctx, addr, ggsdocument.Head{})
	}
	if err != nil {
		return ggsdocument.Head{}, false, &PeerError{Addr: addr, Cause: err}
	}
	return h, newer, nil
}

// Section implements PeerConfig.
func (p *Peers) Section(ctx context.Context, addr netip.AddrPort, d ggscore.Digest) ([]byte, error) {
	var r SectionReply
	if err := p.pool.CallLong(ctx, sectionSilence, addr, methodSection, &SectionArgs{Digest: d}, &r); err != nil {
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

// since asks for what changed since a head and returns the later one.
func (p *Peers) since(
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
