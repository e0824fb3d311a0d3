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
	maxNews       = 16
	// maxDatagramBytes fits one packet of a usual link.
	maxDatagramBytes = 1400
)

// The flags of a heartbeat and of a member.
const (
	flagLeaving = 1 << iota
	flagGone
	flagWatch
	flagKnown = flagLeaving | flagGone | flagWatch
)

// encode writes a heartbeat. The sender's address isn't sent: the datagram's
// own tells it. An incarnation that is no UUID is left out.
func encode(d ggscore.Domain, h ggsmember.Heartbeat) []byte {
	b := []byte{formatVersion}
	b = binary.BigEndian.AppendUint32(b, domainSum(d))
	b = appendMember(b, h.Sender, h.Monitor)
	b = binary.AppendUvarint(b, uint64(len(h.Updates)))
	for _, m := range h.Updates {
		b = appendMember(b, m, false)
		addr, _ := m.Addr.MarshalBinary()
		b = appendText(b, string(addr))
	}
	return b
}

func appendMember(b []byte, m ggsmember.Member, watch bool) []byte {
	flags := byte(0)
	for _, f := range []struct {
		set  bool
		flag byte
	}{{m.Leaving, flagLeaving}, {m.Gone, flagGone}, {watch, flagWatch}} {
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

// decode reads a heartbeat of a domain. A failure is a *BadDatagramError.
func decode(domain ggscore.Domain, datagram []byte) (ggsmember.Heartbeat, error) {
	d := decoder{in: bytes.NewReader(datagram)}
	bad := func(detail string) (ggsmember.Heartbeat, error) {
		return ggsmember.Heartbeat{}, &BadDatagramError{Bytes: len(datagram), Detail: detail}
	}
	if len(datagram) > maxDatagramBytes || d.byte() != formatVersion {
		return bad("version or length")
	}
	var sum [4]byte
	d.fill(sum[:])
	if binary.BigEndian.Uint32(sum[:]) != domainSum(domain) {
		return bad("domain")
	}
	var h ggsmember.Heartbeat
	h.Sender, h.Monitor = d.member()
	n := d.uvarint()
	if d.failed || n > maxNews {
		return bad("sender")
	}
	for range n {
		m, _ := d.member()
		m.Addr = d.addr()
		h.Updates = append(h.Updates, m)
	}
	if d.failed || d.in.Len() > 0 {
		return bad("members")
	}
	return h, nil
}

// domainSum stands for a domain's name. It guards against datagrams that went
// astray, of which there are few.
func domainSum(d ggscore.Domain) uint32 { return uint32(xxhash.Sum64String(string(d))) }

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
	m := ggsmember.Member{VM: ggscore.VMID(d.text()), Leaving: flags&flagLeaving != 0, Gone: flags&flagGone != 0}
	var id uuid.UUID
	d.fill(id[:])
	if id != uuid.Nil {
		m.Incarnation = id.String()
	}
	m.Sequence = d.uvarint()
	m.Revision = ggscore.Revision(d.uvarint())
	d.failed = d.failed || m.VM == "" || flags&^flagKnown != 0
	return m, flags&flagWatch != 0
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
