package ggsheartbeat

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsmember"
)

const (
	formatVersion = 1
	maxTextBytes  = 64
	maxUpdates    = 16
	// maxDatagramBytes fits into one Ethernet frame (MTU 1500).
	maxDatagramBytes = 1400
)

// Flags of the sender and of the members in updates.
const (
	flagLeaving = 1 << iota
	flagGone
	flagMonitor
	flagsKnown = flagLeaving | flagGone | flagMonitor
)

// encode encodes a heartbeat. It omits the sender's address, since the receiver knows it from the
// datagram, and any incarnation that is no UUID.
func encode(d ggscore.Domain, h ggsmember.Heartbeat) []byte {
	b := []byte{formatVersion}
	b = binary.BigEndian.AppendUint32(b, domainHash(d))
	b = appendMember(b, h.Sender, h.Monitor)
	b = binary.AppendUvarint(b, uint64(len(h.Updates)))
	for _, m := range h.Updates {
		b = appendMember(b, m, false)
		addr, _ := m.Addr.MarshalBinary()
		b = appendText(b, string(addr))
	}
	return b
}

func appendMember(b []byte, m ggsmember.Member, monitor bool) []byte {
	flags := byte(0)
	for _, f := range []struct {
		set  bool
		flag byte
	}{{m.Leaving, flagLeaving}, {m.Failed, flagGone}, {monitor, flagMonitor}} {
		if f.set {
			flags |= f.flag
		}
	}
	b = append(b, flags)
	b = appendText(b, string(m.VM))
	id, _ := uuid.Parse(m.Incarnation)
	b = append(b, id[:]...)
	b = binary.AppendUvarint(b, m.Sequence)
	return binary.AppendUvarint(b, uint64(m.Revision))
}

func appendText(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// decode decodes a heartbeat of the given domain. Errors are of type *BadDatagramError.
func decode(domain ggscore.Domain, datagram []byte) (ggsmember.Heartbeat, error) {
	d := decoder{in: bytes.NewReader(datagram)}
	bad := func(detail string) (ggsmember.Heartbeat, error) {
		return ggsmember.Heartbeat{}, &BadDatagramError{Bytes: len(datagram), Detail: detail}
	}
	if len(datagram) > maxDatagramBytes || d.byte() != formatVersion {
		return bad("unknown format version, or too long")
	}
	var hash [4]byte
	d.fill(hash[:])
	if binary.BigEndian.Uint32(hash[:]) != domainHash(domain) {
		return bad("other failure domain")
	}
	var h ggsmember.Heartbeat
	h.Sender, h.Monitor = d.member()
	n := d.uvarint()
	if d.failed || n > maxUpdates {
		return bad("malformed sender, or too many updates")
	}
	for range n {
		m, _ := d.member()
		m.Addr = d.addr()
		h.Updates = append(h.Updates, m)
	}
	if d.failed || d.in.Len() > 0 {
		return bad("malformed updates, or trailing bytes")
	}
	return h, nil
}

// domainHash returns a short identifier of a domain. Receivers compare it to reject datagrams that
// were sent to a wrong domain. Such datagrams are rare, so 32 bits suffice.
func domainHash(d ggscore.Domain) uint32 { return uint32(xxhash.Sum64String(string(d))) }

type decoder struct {
	in     *bytes.Reader
	failed bool
}

func (d *decoder) addr() netip.AddrPort {
	var a netip.AddrPort
	d.check(a.UnmarshalBinary([]byte(d.text())))
	return a
}

func (d *decoder) byte() byte {
	b, err := d.in.ReadByte()
	d.check(err)
	return b
}

func (d *decoder) check(err error) { d.failed = d.failed || err != nil }

func (d *decoder) fill(p []byte) {
	_, err := io.ReadFull(d.in, p)
	d.check(err)
}

func (d *decoder) member() (ggsmember.Member, bool) {
	flags := d.byte()
	m := ggsmember.Member{VM: ggscore.VMID(d.text()), Leaving: flags&flagLeaving != 0, Failed: flags&flagGone != 0}
	var id uuid.UUID
	d.fill(id[:])
	if id != uuid.Nil {
		m.Incarnation = id.String()
	}
	m.Sequence = d.uvarint()
	m.Revision = ggscore.Revision(d.uvarint())
	d.failed = d.failed || m.VM == "" || flags&^flagsKnown != 0
	return m, flags&flagMonitor != 0
}

func (d *decoder) text() string {
	n := d.uvarint()
	if d.failed || n > maxTextBytes || n > uint64(d.in.Len()) {
		d.failed = true
		return ""
	}
	p := make([]byte, n)
	d.fill(p)
	return string(p)
}

func (d *decoder) uvarint() uint64 {
	n, err := binary.ReadUvarint(d.in)
	d.check(err)
	return n
}
