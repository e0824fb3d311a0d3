package ggspeer

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	ggscore "greengageslip/core"
)

// maxDatagram is the size of the greatest datagram over IPv4.
const maxDatagram = 65507

// A Beat is what a VM tells its peers.
type Beat struct {
	VM ggscore.VMID
	// Sequence numbers the beats of one process, whose start is Started.
	Sequence uint64
	Started  int64
	// Relay says how far the receiver passes the beat on.
	Relay ggscore.Relay
	// ListedAt and OperatedAt are the store's revisions by which the VM saw the
	// list of endpoints and the operators' entries change last.
	ListedAt   ggscore.StoreRevision
	OperatedAt ggscore.StoreRevision
	// ListAge is the time since the VM read the list.
	ListAge  time.Duration
	Flights  []Flight
	Holdings []Holding
	Uses     []Use
	// Samples and Tallies tell how endpoints read.
	Samples []ggscore.TurnSample
	Tallies []ggscore.TurnTally
	// Modes say whether prompts wait, by the VM.
	Modes []ggscore.TurnMode
}

// A Flight is the number of the VM's requests at an endpoint, and how many have
// ended and failed there since its last beat.
type Flight struct {
	Endpoint ggscore.EndpointID
	Count    int
	Ended    int
	Failed   int
}

// A Holding is what an endpoint holds by the word of its orderer, the VM.
type Holding struct {
	Endpoint ggscore.EndpointID
	// Held is what the endpoint holds, where Whole says that it is told.
	Held  []ggscore.AdapterVersion
	Whole bool
	// Waiting is the number of adapters that wait to be loaded there, Room that of
	// those that would find a place at once.
	Waiting int
	Room    int
}

// A Use is an adapter at an endpoint that requests of the VM use. Count is the
// number of those sent since the last beat, Active says that some are under way.
type Use struct {
	Endpoint ggscore.EndpointID
	Target   ggscore.ModelAdapter
	Count    int
	Active   bool
}

// A Conn sends and receives beats.
type Conn struct {
	udp     *net.UDPConn
	dropped atomic.Int64
}

type beatWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	VM       string
	Sequence uint64
	Started  int64
	Relay    int
	Listed   uint64
	Operated uint64
	// ListAge counts milliseconds.
	ListAge int64
	// Models are the base models that the rest refers to by index.
	Models   []string
	Flights  []flightWire
	Holdings []holdingWire
	Uses     []useWire
	Samples  []sampleWire
	Tallies  []tallyWire
	Modes    []modeWire
}

type flightWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Endpoint string
	Count    int
	Ended    int
	Failed   int
}

type holdingWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Endpoint string
	Held     []heldWire
	Whole    bool
	Waiting  int
	Room     int
}

type heldWire struct {
	_       struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Model   int
	Adapter string
	Version uint64
}

type useWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Endpoint string
	Model    int
	Adapter  string
	Count    int
	Active   bool
}

type sampleWire struct {
	_       struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Service string
	Tokens  int
	// Took counts microseconds.
	Took int64
}

type tallyWire struct {
	_       struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Service string
	Streams int
	Hurt    int
}

type modeWire struct {
	_       struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Service string
	Waits   bool
	Without float64
}

// Listen opens the socket for beats.
func Listen(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	p, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listening for beats on %s", addr)
	}
	u, ok := p.(*net.UDPConn)
	if !ok {
		_ = p.Close()
		return nil, &SocketError{Addr: addr}
	}
	return &Conn{udp: u}, nil
}

// The kinds of datagrams, their first byte.
const (
	kindBeat   = 'b'
	kindNotice = 'n'
)

// A Handler takes what peers say.
type Handler struct {
	Beat   func(Beat)
	Notice func(Notice)
}

// Run hands each beat and notice to the handler until the context ends.
func (c *Conn) Run(ctx context.Context, h Handler) error {
	stop := context.AfterFunc(ctx, func() { _ = c.udp.Close() })
	defer stop()
	b := make([]byte, maxDatagram)
	for {
		n, _, err := c.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "receiving beats")
		}
		if !h.take(b[:n]) {
			c.dropped.Add(1)
		}
	}
}

// take hands a datagram on, and returns false for one that can't be read.
func (h *Handler) take(p []byte) bool {
	if len(p) == 0 {
		return false
	}
	switch p[0] {
	case kindBeat:
		var ws []beatWire
		if cbor.Unmarshal(p[1:], &ws) != nil {
			return false
		}
		for i := range ws {
			b, err := ws[i].beat()
			if err != nil {
				return false
			}
			h.Beat(b)
		}
		return true
	case kindNotice:
		var w noticeWire
		if cbor.Unmarshal(p[1:], &w) != nil {
			return false
		}
		h.Notice(w.notice())
		return true
	}
	return false
}

// Dropped returns the number of datagrams that couldn't be read.
func (c *Conn) Dropped() int64 { return c.dropped.Load() }

// maxBeats is the number of beats in a datagram: 4 KB in a deployment of 69 VMs.
const maxBeats = 10

// Send sends the beats to the addresses, several in a datagram. A datagram that can't be
// sent is lost like one on the way; the last failure is returned.
func (c *Conn) Send(bs []Beat, to []netip.AddrPort) error {
	var last error
	for part := range slices.Chunk(bs, maxBeats) {
		ws := make([]beatWire, 0, len(part))
		for _, b := range part {
			ws = append(ws, wireOf(b))
		}
		if err := c.send(kindBeat, ws, to); err != nil {
			last = err
		}
	}
	return last
}

// SendNotice sends the notice to the addresses, like Send.
func (c *Conn) SendNotice(n Notice, to []netip.AddrPort) error {
	return c.send(kindNotice, noticeWireOf(n), to)
}

func (c *Conn) send(kind byte, w any, to []netip.AddrPort) error {
	p, err := cbor.Marshal(w)
	if err != nil {
		return errors.Wrap(err, "encoding a datagram")
	}
	p = append([]byte{kind}, p...)
	var last error
	for _, a := range to {
		if _, err := c.udp.WriteToUDPAddrPort(p, a); err != nil {
			last = err
		}
	}
	return last
}

func wireOf(b Beat) beatWire {
	w := beatWire{
		VM: string(b.VM), Sequence: b.Sequence, Started: b.Started, Relay: int(b.Relay),
		Listed: uint64(b.ListedAt), Operated: uint64(b.OperatedAt), ListAge: b.ListAge.Milliseconds(),
	}
	index := map[ggscore.BaseModel]int{}
	model := func(m ggscore.BaseModel) int {
		i, ok := index[m]
		if !ok {
			i = len(w.Models)
			index[m] = i
			w.Models = append(w.Models, string(m))
		}
		return i
	}
	for _, f := range b.Flights {
		w.Flights = append(w.Flights, flightWire{
			Endpoint: string(f.Endpoint), Count: f.Count, Ended: f.Ended, Failed: f.Failed,
		})
	}
	for _, h := range b.Holdings {
		hw := holdingWire{Endpoint: string(h.Endpoint), Whole: h.Whole, Waiting: h.Waiting, Room: h.Room}
		for _, v := range h.Held {
			hw.Held = append(hw.Held, heldWire{Model: model(v.Target.Model), Adapter: v.Target.Adapter, Version: v.Version})
		}
		w.Holdings = append(w.Holdings, hw)
	}
	for _, u := range b.Uses {
		w.Uses = append(w.Uses, useWire{
			Endpoint: string(u.Endpoint), Model: model(u.Target.Model), Adapter: u.Target.Adapter, Count: u.Count, Active: u.Active,
		})
	}
	for _, x := range b.Samples {
		w.Samples = append(w.Samples, sampleWire{Service: string(x.Service), Tokens: x.Tokens, Took: x.Took.Microseconds()})
	}
	for _, x := range b.Tallies {
		w.Tallies = append(w.Tallies, tallyWire{Service: string(x.Service), Streams: x.Streams, Hurt: x.Hurt})
	}
	for _, x := range b.Modes {
		w.Modes = append(w.Modes, modeWire{Service: string(x.Service), Waits: x.Waits, Without: x.Without})
	}
	return w
}

func (w *beatWire) beat() (Beat, error) {
	b := Beat{
		VM: ggscore.VMID(w.VM), Sequence: w.Sequence, Started: w.Started, Relay: ggscore.Relay(w.Relay),
		ListedAt: ggscore.StoreRevision(w.Listed), OperatedAt: ggscore.StoreRevision(w.Operated), ListAge: time.Duration(w.ListAge) * time.Millisecond,
	}
	for _, f := range w.Flights {
		b.Flights = append(b.Flights, Flight{
			Endpoint: ggscore.EndpointID(f.Endpoint), Count: f.Count, Ended: f.Ended, Failed: f.Failed,
		})
	}
	for _, hw := range w.Holdings {
		h := Holding{Endpoint: ggscore.EndpointID(hw.Endpoint), Whole: hw.Whole, Waiting: hw.Waiting, Room: hw.Room}
		for _, v := range hw.Held {
			t, err := w.target(v.Model, v.Adapter)
			if err != nil {
				return Beat{}, err
			}
			h.Held = append(h.Held, ggscore.AdapterVersion{Target: t, Version: v.Version})
		}
		b.Holdings = append(b.Holdings, h)
	}
	for _, u := range w.Uses {
		t, err := w.target(u.Model, u.Adapter)
		if err != nil {
			return Beat{}, err
		}
		b.Uses = append(b.Uses, Use{Endpoint: ggscore.EndpointID(u.Endpoint), Target: t, Count: u.Count, Active: u.Active})
	}
	for _, x := range w.Samples {
		b.Samples = append(b.Samples, ggscore.TurnSample{
			Service: ggscore.Service(x.Service), Tokens: x.Tokens, Took: time.Duration(x.Took) * time.Microsecond,
		})
	}
	for _, x := range w.Tallies {
		b.Tallies = append(b.Tallies, ggscore.TurnTally{Service: ggscore.Service(x.Service), Streams: x.Streams, Hurt: x.Hurt})
	}
	for _, x := range w.Modes {
		b.Modes = append(b.Modes, ggscore.TurnMode{Service: ggscore.Service(x.Service), Waits: x.Waits, Without: x.Without})
	}
	return b, nil
}

func (w *beatWire) target(model int, adapter string) (ggscore.ModelAdapter, error) {
	if model < 0 || model >= len(w.Models) {
		return ggscore.ModelAdapter{}, &IndexError{Index: model, Count: len(w.Models)}
	}
	return ggscore.ModelAdapter{Model: ggscore.BaseModel(w.Models[model]), Adapter: adapter}, nil
}
