package ggstunnel

import (
	"encoding/binary"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// headerFraming and framingLength are the header, in a CONNECT request and its answer, that states
// how the peer sends the endpoint's bytes: in frames of a length and that many bytes. A frame of
// length zero says that the endpoint has closed its connection.
//
// headerNotices and noticeStop are the header of a VM that knows the length stopNotice, which no bytes follow: the peer is
// stopping, and the tunnel is to be used for no further request.
const (
	headerFraming = "X-Tunnel-Framing"
	framingLength = "length"
	headerNotices = "X-Tunnel-Notices"
	noticeStop    = "stop"
	stopNotice    = math.MaxUint16
)

// lengthBytes is the size of a frame's length, an unsigned big-endian number.
const lengthBytes = 2

// A frameWriter writes an endpoint's bytes to a tunnel, and notices between them. It is safe for concurrent use.
type frameWriter struct {
	mu sync.Mutex
	w  io.Writer
	b  []byte
}

func newFrameWriter(w io.Writer) *frameWriter {
	return &frameWriter{w: w, b: make([]byte, lengthBytes+copyBytes)}
}

// Write implements io.Writer. It takes at most copyBytes at a time.
func (f *frameWriter) Write(b []byte) (int, error) {
	if len(b) > copyBytes {
		return 0, io.ErrShortWrite
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	binary.BigEndian.PutUint16(f.b, uint16(len(b))) //nolint:gosec // at most copyBytes
	n := copy(f.b[lengthBytes:], b)
	if _, err := f.w.Write(f.b[:lengthBytes+n]); err != nil {
		return 0, err
	}
	return n, nil
}

// end says that the endpoint has closed its connection.
func (f *frameWriter) end() error {
	_, err := f.Write(nil)
	return err
}

// notify says that the peer is stopping.
func (f *frameWriter) notify() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	binary.BigEndian.PutUint16(f.b, stopNotice)
	_, err := f.w.Write(f.b[:lengthBytes])
	return err
}

// A framedConn is the VM's end of a tunnel whose peer sends frames.
type framedConn struct {
	net.Conn
	// remaining is the number of bytes of the current frame that weren't read yet.
	remaining int
	ended     bool
	// stopping is set once the peer has said that it is stopping.
	stopping atomic.Bool
}

var _ syscall.Conn = (*framedConn)(nil)

// Read implements net.Conn. The end of the tunnel is that of the endpoint's connection only if the
// peer says so; otherwise the peer itself may have ended.
func (f *framedConn) Read(b []byte) (int, error) {
	if f.ended {
		return 0, io.EOF
	}
	for f.remaining == 0 {
		var h [lengthBytes]byte
		if _, err := io.ReadFull(f.Conn, h[:]); err != nil {
			return 0, unexpectedEnd(err)
		}
		switch n := binary.BigEndian.Uint16(h[:]); n {
		case 0:
			f.ended = true
			return 0, io.EOF
		case stopNotice:
			f.stopping.Store(true)
		default:
			f.remaining = int(n)
		}
	}
	n, err := f.Conn.Read(b[:min(len(b), f.remaining)])
	f.remaining -= n
	return n, unexpectedEnd(err)
}

// SyscallConn implements syscall.Conn.
func (f *framedConn) SyscallConn() (syscall.RawConn, error) { return syscallConn(f.Conn) }

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func syscallConn(c net.Conn) (syscall.RawConn, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return s.SyscallConn()
}
