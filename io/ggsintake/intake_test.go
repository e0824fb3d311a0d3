package ggsintake_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"go.uber.org/goleak"

	"greengageslip/core/ggsbudget"
	"greengageslip/io/ggsintake"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	class    = ggsbudget.Class("callers")
	waitTime = 10 * time.Second
	request  = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s"
)

// clock is that of the network's deadlines.
var clock = time.Now //nolint:forbidigo,gochecknoglobals // as above

func limits() ggsbudget.Limits {
	return ggsbudget.Limits{
		Bytes: 1 << 20, BodyBytes: 600_000, ConnBytes: 1 << 10, Requests: 4, RequestBytes: 1 << 10,
		Conns: map[ggsbudget.Class]int{class: 8},
	}
}

// A server answers each request with its body's length, or the status of the error in reading it.
type server struct {
	c      *qt.C
	intake *ggsintake.Intake
	addr   string
	// answer is written before the body's length.
	answer string
}

func startServer(t *testing.T, l ggsbudget.Limits) *server {
	t.Helper()
	s := &server{c: qt.New(t), intake: ggsintake.New(ggsintake.Options{Limits: l, Now: clock, Log: log.NewNopLogger()})}
	v := &http.Server{Handler: s.intake.Handler(http.HandlerFunc(s.serve), refuse), ReadHeaderTimeout: waitTime}
	s.intake.Follow(v)
	n, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	s.c.Assert(err, qt.IsNil)
	s.addr = n.Addr().String()
	done := make(chan error, 1)
	go func() { done <- v.Serve(s.intake.HTTPListener(class, n)) }()
	t.Cleanup(func() {
		s.c.Check(v.Close(), qt.IsNil)
		s.c.Check(<-done, qt.ErrorIs, http.ErrServerClosed)
		s.eventually("all is given back", func() bool { return s.intake.Usage() == ggsbudget.Usage{} })
	})
	return s
}

func refuse(w http.ResponseWriter, _ *http.Request, err error) {
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/refuse" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b, err := ggsintake.ReadAll(r.Context(), r.Body, r.ContentLength)
	if err != nil {
		w.Header().Set("Connection", "close")
		refuse(w, r, err)
		return
	}
	_, _ = io.WriteString(w, s.answer)
	_, _ = fmt.Fprint(w, len(b))
}

func (s *server) eventually(what string, ok func() bool) {
	s.c.Helper()
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	end := time.NewTimer(waitTime)
	defer end.Stop()
	for !ok() {
		select {
		case <-t.C:
		case <-end.C:
			s.c.Fatalf("timed out waiting: %s, %+v", what, s.intake.Usage())
		}
	}
}

// client opens a connection and sends a text.
func (s *server) client(text string) net.Conn {
	s.c.Helper()
	n, err := net.Dial("tcp", s.addr)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { _ = n.Close() })
	_, err = io.WriteString(n, text)
	s.c.Assert(err, qt.IsNil)
	return n
}

// status reads an answer's status.
func (s *server) status(n net.Conn) (int, error) {
	r, err := http.ReadResponse(bufio.NewReader(n), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = r.Body.Close() }()
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}

func TestBodiesAreReadWhole(t *testing.T) {
	t.Parallel()
	s := startServer(t, limits())
	for _, n := range []int{0, 1, 8 << 10, 8<<10 + 1, 100_000} {
		status, err := s.status(s.client(fmt.Sprintf(request, n, strings.Repeat("a", n))))
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(status, qt.Equals, http.StatusOK)
		status, err = s.status(s.client(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", max(n, 1), strings.Repeat("a", max(n, 1)))))
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(status, qt.Equals, http.StatusOK)
	}
}

// Guards against bodies that stop short and keep their memory while others are refused.
func TestBodiesThatStopShortAreRefused(t *testing.T) {
	t.Parallel()
	s := startServer(t, limits())
	short := s.client(fmt.Sprintf(request, 300_001, strings.Repeat("a", 300_000)))
	s.eventually("the body is read", func() bool { return s.intake.Usage().BodyBytes > 300_000 })
	s.eventually("another is served", func() bool {
		status, err := s.status(s.client(fmt.Sprintf(request, 300_000, strings.Repeat("a", 300_000))))
		return err == nil && status == http.StatusOK
	})
	status, err := s.status(short)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
}

// Guards against heads that take memory before they count.
func TestHeadsAreRefusedWithoutMemory(t *testing.T) {
	t.Parallel()
	s := startServer(t, limits())
	n := s.client("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 5_000))
	status, err := s.status(n)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
}

// Guards against callers that aren't refused, but see their connection reset, while there is no memory for it.
func TestConnectionsAreRefusedWithoutMemory(t *testing.T) {
	t.Parallel()
	l := limits()
	l.Bytes = l.ConnBytes - 1
	s := startServer(t, l)
	status, err := s.status(s.client(fmt.Sprintf(request, 10, "a")))
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
}

// Guards against silent connections that keep others out.
func TestSilentConnectionsGiveWay(t *testing.T) {
	t.Parallel()
	s := startServer(t, limits())
	for range 20 {
		s.client("")
	}
	s.eventually("a request is answered", func() bool {
		status, err := s.status(s.client(fmt.Sprintf(request, 1, "a")))
		return err == nil && status == http.StatusOK
	})
	s.c.Assert(s.intake.Usage().Conns <= limits().Conns[class], qt.IsTrue)
}

// Guards against answers that aren't read and keep their places in flight.
func TestUnreadAnswersGiveWay(t *testing.T) {
	t.Parallel()
	s := startServer(t, limits())
	s.answer = strings.Repeat("a", 64<<20)
	for range 4 {
		s.client(fmt.Sprintf(request, 1, "a"))
	}
	s.eventually("the places are taken", func() bool { return s.intake.Usage().Requests == 4 })
	s.eventually("a request is served", func() bool {
		r, err := http.ReadResponse(bufio.NewReader(s.client(fmt.Sprintf(request, 1, "a"))), nil)
		return err == nil && r.StatusCode == http.StatusOK
	})
}

// Guards against the rest of a body that nobody reads, for which net/http would wait without end.
func TestBodyThatIsNotReadEnds(t *testing.T) {
	t.Parallel()
	l := limits()
	l.Requests = 1
	s := startServer(t, l)
	s.answer = strings.Repeat("a", 64<<20)
	s.client(fmt.Sprintf(request, 1, "a"))
	s.eventually("the place is taken", func() bool { return s.intake.Usage().Requests == 1 })
	// It is refused before its body is read.
	n := s.client(fmt.Sprintf(request, 100_000, ""))
	status, err := s.status(n)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	s.eventually("its connection ends", func() bool { return s.intake.Usage().Conns == 1 })
}

// Guards against a refusal that waits for a body which its client sends only once it is asked to, or never.
func TestRefusalDoesNotWaitForABody(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		text string
		want int
	}{
		"a client that waits for 100 Continue": {"POST /refuse HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 100\r\n\r\n", http.StatusServiceUnavailable},
		"a long body that doesn't come":        {"POST /refuse HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startServer(t, limits())
			begun := clock()
			status, err := s.status(s.client(tc.text))
			s.c.Assert(err, qt.IsNil)
			s.c.Assert(status, qt.Equals, tc.want)
			s.c.Assert(clock().Sub(begun) < 900*time.Millisecond, qt.IsTrue)
		})
	}
}

// A failingListener fails to accept a connection before each one that it accepts.
type failingListener struct {
	net.Listener
	failed bool
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	l.failed = !l.failed
	if l.failed {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends because it is out of descriptors for a moment.
func TestListenerOutlastsLackOfDescriptors(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	i := ggsintake.New(ggsintake.Options{Limits: limits(), Now: clock, Log: log.NewNopLogger()})
	n, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := i.Listener(class, &failingListener{Listener: n})
	d, err := net.Dial("tcp", n.Addr().String())
	c.Assert(err, qt.IsNil)
	a, err := l.Accept()
	c.Assert(err, qt.IsNil)
	c.Assert(a.Close(), qt.IsNil)
	c.Assert(d.Close(), qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	_, err = l.Accept()
	c.Assert(errors.Is(err, net.ErrClosed), qt.IsTrue)
}

func TestMemoryOutlivesAConnection(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	i := ggsintake.New(ggsintake.Options{Limits: limits(), Now: clock, Log: log.NewNopLogger()})
	release, err := i.Draw(500_000)
	c.Assert(err, qt.IsNil)
	_, err = i.Draw(500_000)
	var full *ggsbudget.FullError
	c.Assert(errors.As(err, &full), qt.IsTrue)
	release()
	release()
	c.Assert(i.Usage(), qt.Equals, ggsbudget.Usage{})
}
