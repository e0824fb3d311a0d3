package ggstunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsconn"
	"greengageslip/io/ggsexchange"
	"greengageslip/io/ggslog"
)

const (
	// copyBytes is the size of the buffer of each direction of a tunnel.
	copyBytes = 8 << 10
	// answerPause is the pause in an answer after which its tunnel counts as idle at a stop.
	answerPause = 300 * time.Millisecond
	// waitInterval is the time between checks for tunnels in use.
	waitInterval = 50 * time.Millisecond
	// minIdle is the time without bytes after which a tunnel without a request gives way to another.
	minIdle = time.Second
)

// ServerOptions configure a Server. All fields are required.
type ServerOptions struct {
	// Dialer opens the connections to endpoints.
	Dialer ggscore.Dialer
	Paths  ggscore.Paths
	// Known reports whether an endpoint has the address.
	Known func(netip.AddrPort) bool
	// MaxTunnels bounds the open tunnels.
	MaxTunnels int
	Now        func() time.Time
	Log        log.Logger
}

// A Server opens connections to endpoints for other VMs.
type Server struct {
	options  ServerOptions
	draining atomic.Bool
	opened   atomic.Int64

	mu      sync.Mutex
	tunnels map[*tunnel]struct{}
	// places counts the tunnels that are open, being opened or being closed.
	places int
}

var _ http.Handler = (*Server)(nil)

// A tunnel joins a connection from a VM and one to an endpoint.
type tunnel struct {
	vm, endpoint net.Conn
	// frames writes the endpoint's bytes to vm, nil for a VM that doesn't know frames. notices is set if the VM knows notices.
	frames  *frameWriter
	notices bool
	// requestAt and answerAt are the times of the last bytes in each direction, as Unix times in
	// nanoseconds. answerAt is when the tunnel was opened at first.
	requestAt atomic.Int64
	answerAt  atomic.Int64
}

// NewServer returns a Server without tunnels.
func NewServer(o ServerOptions) *Server {
	return &Server{options: o, tunnels: map[*tunnel]struct{}{}}
}

// Open returns the number of open tunnels, and Opened that of all tunnels since the start.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tunnels)
}

// Opened returns the number of tunnels that were opened.
func (s *Server) Opened() int64 { return s.opened.Load() }

// Drain makes the server open no more tunnels, and has VMs use the open ones for no further request.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	var ns []*tunnel
	for n := range s.tunnels {
		ns = append(ns, n)
	}
	s.mu.Unlock()
	for _, n := range ns {
		// A VM that doesn't read its answers must not hold up the others' notices.
		go n.notifyStop()
	}
}

// Wait waits until no tunnel has a request in progress, or the context ends, and closes all
// tunnels.
func (s *Server) Wait(ctx context.Context) {
	t := time.NewTicker(waitInterval)
	defer t.Stop()
	for s.busy() {
		select {
		case <-t.C:
			continue
		case <-ctx.Done():
		}
		break
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.tunnels {
		_ = n.vm.Close()
		_ = n.endpoint.Close()
	}
}

// busy reports whether a tunnel has a request in progress, as far as the times of its bytes show.
func (s *Server) busy() bool {
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.tunnels {
		request, answer := n.requestAt.Load(), n.answerAt.Load()
		if request > answer || now.Sub(time.Unix(0, answer)) < answerPause {
			return true
		}
	}
	return false
}

// ServeHTTP implements http.Handler. It answers CONNECT requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	addr, err := netip.ParseAddrPort(r.Host)
	switch {
	case r.Method != http.MethodConnect:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	case err != nil || !s.options.Known(addr):
		w.WriteHeader(http.StatusForbidden)
		return
	case s.draining.Load() || s.options.Paths.Blocked(addr) || !s.takePlace():
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leavePlace()
	endpoint, err := s.options.Dialer.Dial(r.Context(), addr)
	if err != nil {
		_ = level.Debug(s.options.Log).Log("event", ggslog.EventTunnelFailed, "addr", addr, "from", r.RemoteAddr, "err", err)
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	s.serve(w, r, endpoint)
}

// takePlace takes a place for a tunnel before its connection to the endpoint is opened. If there is none, the tunnel that has been
// idle for longest gives way.
func (s *Server) takePlace() bool {
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.places >= s.options.MaxTunnels {
		n := s.longestIdle(now)
		if n == nil {
			return false
		}
		delete(s.tunnels, n)
		_ = n.vm.Close()
		_ = n.endpoint.Close()
		// Its place is left once its connections have ended.
	}
	s.places++
	return true
}

func (s *Server) leavePlace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.places--
}

// longestIdle returns the tunnel that has had no request for longest, nil for none. Server.mu is held.
func (s *Server) longestIdle(now time.Time) *tunnel {
	var longest *tunnel
	for n := range s.tunnels {
		at := n.answerAt.Load()
		if n.requestAt.Load() > at || now.Sub(time.Unix(0, at)) < minIdle {
			continue
		}
		if longest == nil || at < longest.answerAt.Load() {
			longest = n
		}
	}
	return longest
}

// serve answers the request and forwards bytes until one of the connections ends.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, endpoint net.Conn) {
	defer func() { _ = endpoint.Close() }()
	h, ok := w.(http.Hijacker)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	vm, b, err := h.Hijack()
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { _ = vm.Close() }()
	if t, ok := ggsconn.TCPConn(vm); ok {
		if err := ggsexchange.DetectLoss(t); err != nil {
			_ = level.Warn(s.options.Log).Log("event", ggslog.EventTunnelFailed, "addr", r.Host, "from", r.RemoteAddr, "err", err)
			return
		}
	}
	if b.Reader.Buffered() > 0 {
		// The VM must wait for the answer before it sends a request.
		return
	}
	n := &tunnel{vm: vm, endpoint: endpoint}
	n.answerAt.Store(s.options.Now().UnixNano())
	head := "HTTP/1.1 200 OK\r\n"
	if r.Header.Get(headerFraming) == framingLength {
		n.frames, n.notices = newFrameWriter(vm), r.Header.Get(headerNotices) == noticeStop
		head += headerFraming + ": " + framingLength + "\r\n"
	}
	if _, err := io.WriteString(vm, head+"\r\n"); err != nil {
		return
	}
	s.opened.Add(1)
	s.mu.Lock()
	s.tunnels[n] = struct{}{}
	s.mu.Unlock()
	if s.draining.Load() {
		n.notifyStop()
	}
	n.forward(s.options.Now)
	s.mu.Lock()
	delete(s.tunnels, n)
	s.mu.Unlock()
}

// notifyStop tells the VM that this peer is stopping, if the VM knows notices.
func (t *tunnel) notifyStop() {
	if t.notices {
		// An error means that the VM has left.
		_ = t.frames.notify()
	}
}

// forward copies bytes in both directions. The end of either connection ends the tunnel: an
// endpoint must learn at once that its caller has left.
func (t *tunnel) forward(now func() time.Time) {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		u.failed.Store(copyBytesOf(t.endpoint, t.vm, &t.requestAt, now) == nil)
		_ = t.endpoint.Close()
	}()
	t.forwardAnswers(now, u)
	_ = t.vm.Close()
	<-u.done
}

// An upload is the copying of a VM's requests to an endpoint.
type upload struct {
	done chan struct{}
	// failed is set if a write failed.
	failed atomic.Bool
}

func (t *tunnel) forwardAnswers(now func() time.Time, u *upload) {
	if t.frames == nil {
		_ = copyBytesOf(t.vm, t.endpoint, &t.answerAt, now)
		return
	}
	err := copyBytesOf(t.frames, t.endpoint, &t.answerAt, now)
	if errors.Is(err, io.EOF) && !t.resetUnder(now, u) {
		// Without this frame, which is lost if the VM has left, the answer counts as truncated.
		_ = t.frames.end()
	}
}

const (
	// uploadGap is the age of a request's last bytes up to which more of them may follow.
	uploadGap = 20 * time.Millisecond
	// resetDelay is the time in which the reset arrives that answers bytes for a closed connection.
	resetDelay = 200 * time.Millisecond
)

// resetUnder reports whether the endpoint, which has closed its side, resets the connection while a request is being copied.
func (t *tunnel) resetUnder(now func() time.Time, u *upload) bool {
	if now().Sub(time.Unix(0, t.requestAt.Load())) > uploadGap {
		return u.failed.Load()
	}
	w := time.NewTimer(resetDelay)
	defer w.Stop()
	select {
	case <-u.done:
	case <-w.C:
	}
	return u.failed.Load()
}

// copyBytesOf copies until one of the connections ends, and records the time of the last bytes. It
// returns the error of the read, or nil if a write failed.
func copyBytesOf(to io.Writer, from io.Reader, at *atomic.Int64, now func() time.Time) error {
	b := make([]byte, copyBytes)
	for {
		n, err := from.Read(b)
		if n > 0 {
			at.Store(now().UnixNano())
			if _, err := to.Write(b[:n]); err != nil {
				return nil //nolint:nilerr // the reader has left, which ends the tunnel
			}
		}
		if err != nil {
			return err
		}
	}
}
