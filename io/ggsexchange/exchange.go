package ggsexchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
)

// maxForeign is the number of answers to other requests that are read past. An
// endpoint that sends an answer twice leaves one behind.
const maxForeign = 3

// foreignBytes bounds the body of an answer that is read past.
const foreignBytes = 1 << 20

// maxHeadBytes bounds the head of an answer. An endpoint that never ends its head
// would take the process's memory.
const maxHeadBytes = 64 << 10

// noBound lets a boundedReader read on.
const noBound = -1

// A boundedReader reads no more than is left, or without a bound.
type boundedReader struct {
	r    io.Reader
	left int
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, &HeadTooLongError{Limit: maxHeadBytes}
	}
	if b.left > 0 && len(p) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	if b.left > 0 {
		b.left -= n
	}
	return n, err
}

// A Request is one to make.
type Request struct {
	Addr   netip.AddrPort
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the identity that the answer has to bear in IDHeader, where it
	// bears one. Both empty turns the check off.
	ID       ggscore.RequestID
	IDHeader string
	// MaxConns bounds the connections to the endpoint, zero for no bound.
	MaxConns int
}

// An Answer is an endpoint's answer. Close ends the exchange.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body, -1 where only its end tells.
	Length int64
	Body   io.Reader

	pool   *Pool
	conn   *conn
	resp   *http.Response
	stop   func() bool
	once   sync.Once
	ended  bool
	framed bool
}

// Do makes the request once. Failures are *ggscore.CallError.
func (p *Pool) Do(ctx context.Context, r Request) (*Answer, error) {
	c, err := p.get(ctx, r.Addr, r.MaxConns)
	if err != nil {
		return nil, &ggscore.CallError{Addr: r.Addr, NotSent: true, Kind: ggscore.FailureEndpoint, Cause: err}
	}
	// The caller's going away closes the connection, which is how an endpoint
	// learns that nobody wants the answer.
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	a, err := p.exchange(c, r)
	if err != nil {
		stop()
		p.discard(c)
		if cause := context.Cause(ctx); cause != nil {
			err = errors.CombineErrors(cause, err)
			return nil, &ggscore.CallError{Addr: r.Addr, Kind: ggscore.FailureCancelled, Cause: err}
		}
		return nil, &ggscore.CallError{Addr: r.Addr, Kind: ggscore.FailureBroken, Cause: err}
	}
	a.stop = stop
	return a, nil
}

func (p *Pool) exchange(c *conn, r Request) (*Answer, error) {
	if _, err := c.Write(encode(r)); err != nil {
		// An endpoint may answer before it has read a long body, and close:
		// its answer says more than the failed write.
		if len(r.Body) == 0 {
			return nil, err
		}
	}
	req := &http.Request{Method: r.Method}
	var got ggscore.RequestID
	for range maxForeign {
		c.bound.left = maxHeadBytes
		resp, err := readHead(c.r, req)
		c.bound.left = noBound
		if err != nil {
			return nil, err
		}
		got = ggscore.RequestID(resp.Header.Get(r.IDHeader))
		if r.IDHeader == "" || got == "" || got == r.ID {
			return p.answer(c, resp), nil
		}
		if _, err := io.CopyN(io.Discard, resp.Body, foreignBytes); !errors.Is(err, io.EOF) {
			return nil, &ForeignAnswersError{Want: r.ID, Got: got}
		}
	}
	return nil, &ForeignAnswersError{Want: r.ID, Got: got}
}

func (p *Pool) answer(c *conn, resp *http.Response) *Answer {
	a := &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		pool: p, conn: c, resp: resp,
	}
	a.framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	a.Body = &endReader{r: resp.Body, answer: a}
	if resp.ContentLength == 0 {
		a.ended = true
	}
	return a
}

// Close ends the exchange. The connection is kept where the answer was read to
// an end of its own.
func (a *Answer) Close() {
	a.once.Do(func() {
		if !a.stop() || !a.ended || !a.framed || a.resp.Close || a.conn.r.Buffered() > 0 {
			a.pool.discard(a.conn)
			return
		}
		a.pool.put(a.conn, a.keep())
	})
}

// Reused reports whether the exchange went over a kept connection.
func (a *Answer) Reused() bool { return a.conn.used }

// keep returns how long the connection may be kept.
func (a *Answer) keep() time.Duration {
	for part := range strings.SplitSeq(a.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return min(time.Duration(n)*time.Second-idleMargin, a.pool.options.Idle)
		}
	}
	return a.pool.options.Idle
}

// An endReader notes that an answer's end was seen.
type endReader struct {
	r      io.Reader
	answer *Answer
}

// Read implements io.Reader.
func (e *endReader) Read(b []byte) (int, error) {
	n, err := e.r.Read(b)
	if errors.Is(err, io.EOF) {
		e.answer.ended = true
	}
	return n, err
}

// encode returns the request's bytes, in one piece so that they go out in one
// write.
func encode(r Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for k, vs := range r.Header {
		for _, v := range vs {
			b.WriteString(k)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// readHead reads an answer's head, past interim ones.
func readHead(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}
