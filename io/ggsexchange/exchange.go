package ggsexchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
)

// maxMismatched is the number of answers to read before the exchange fails because all have the
// IDs of other requests. An endpoint that sends an answer twice leaves one such answer unread.
const maxMismatched = 3

// maxMismatchedBytes bounds the body of an answer to another request, which is discarded.
const maxMismatchedBytes = 1 << 20

// maxHeadBytes bounds the head of an answer. An endless head would exhaust the process's memory.
const maxHeadBytes = 64 << 10

// maxSyncBytes is the size up to which a request is written before its answer is read. A connection's buffers hold as
// much, so that an endpoint that answers first doesn't keep the write waiting.
const maxSyncBytes = 16 << 10

// noLimit disables the limit of a limitedReader when it is set as remaining.
const noLimit = -1

// A limitedReader fails with a *HeadTooLongError once no bytes remain. Its limit can be disabled.
type limitedReader struct {
	r         io.Reader
	remaining int
}

// Read implements io.Reader.
func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, &HeadTooLongError{Limit: maxHeadBytes}
	}
	if b.remaining > 0 && len(p) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.r.Read(p)
	if b.remaining > 0 {
		b.remaining -= n
	}
	return n, err
}

// A Request is an HTTP request to an endpoint.
type Request struct {
	Addr   netip.AddrPort
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID must equal the answer's IDHeader if the answer has this header, which it must have on a connection that
	// was used before. An empty IDHeader disables the check.
	ID       ggscore.RequestID
	IDHeader string
	// MaxConns bounds the connections to the endpoint. Zero means no bound.
	MaxConns int
	// Opened, if it is set, is called once a new connection is open for the request.
	Opened func()
	// Linger returns how long the exchange goes on after its context has ended, so that the caller of Do learns
	// whether the endpoint crashes under the request. It begins once the connection is open.
	Linger func() time.Duration
	// Abandoned, if it is set, lets Do return as soon as the context's deadline has passed. Abandoned is then
	// called at the end of the exchange: with its error, or nil after a complete answer.
	Abandoned func(err error)
}

func (r *Request) linger() time.Duration {
	if r.Linger == nil {
		return 0
	}
	return r.Linger()
}

// An Answer is an endpoint's answer. Callers must call Close when they are done with it.
type Answer struct {
	Status int
	Header http.Header
	// Identified is set if the answer names the request's ID, and no other.
	Identified bool
	// Length is the body's length in bytes, or -1 if it is unknown before the end of the body.
	Length int64
	// Framing is what shows the end of the body.
	Framing Framing
	Body    io.Reader

	pool     *Pool
	conn     *conn
	resp     *http.Response
	closer   *lingeringCloser
	once     sync.Once
	complete bool
	// written has the result of a write that goes on beside the answer, nil once the request is known to be written.
	written <-chan error
}

// A Framing is what shows the end of an answer's body.
type Framing int

// The framings.
const (
	// FramingLength is a body of known length.
	FramingLength Framing = iota
	// FramingChunked is a body in chunks.
	FramingChunked
	// FramingClose is a body that ends with its connection.
	FramingClose
)

// String implements fmt.Stringer.
func (f Framing) String() string {
	switch f {
	case FramingLength:
		return "length"
	case FramingChunked:
		return "chunked"
	case FramingClose:
		return "close"
	}
	return "Framing(" + strconv.Itoa(int(f)) + ")"
}

func framingOf(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return FramingChunked
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return FramingLength
	}
	return FramingClose
}

// Do sends the request at most once, and never over a connection that has carried a request of the same ID: another copy of
// that one's answer would count as the answer. Errors are of type *ggscore.CallError.
func (p *Pool) Do(ctx context.Context, r Request) (*Answer, error) {
	c, err := p.get(ctx, r.Addr, r.ID, r.MaxConns)
	if err != nil {
		return nil, &ggscore.CallError{Addr: r.Addr, NotSent: true, Kind: ggscore.FailureEndpoint, Cause: err}
	}
	if cause := context.Cause(ctx); cause != nil {
		p.discard(c)
		return nil, &ggscore.CallError{Addr: r.Addr, NotSent: true, Kind: ggscore.FailureCancelled, Cause: cause}
	}
	if r.Opened != nil && !c.reused {
		r.Opened()
	}
	// When the caller cancels, the connection is closed. This signals the endpoint that the answer
	// is no longer needed.
	l := closeAfter(ctx, c, r.linger)
	if r.Abandoned == nil {
		return p.finish(ctx, c, r, l)
	}
	done := make(chan exchanged, 1)
	go func() {
		a, err := p.finish(ctx, c, r, l)
		done <- exchanged{answer: a, err: err}
	}()
	select {
	case x := <-done:
		return x.answer, x.err
	case <-ctx.Done():
	}
	if len(done) > 0 || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		x := <-done
		return x.answer, x.err
	}
	go func() { r.Abandoned((<-done).discard()) }()
	return nil, &ggscore.CallError{Addr: r.Addr, Kind: ggscore.FailureCancelled, Cause: &AbandonedError{Cause: context.Cause(ctx)}}
}

// An exchanged is the result of an exchange.
type exchanged struct {
	answer *Answer
	err    error
}

// discard reads the answer to its end.
func (x exchanged) discard() error {
	if x.err != nil {
		return x.err
	}
	defer x.answer.Close()
	_, err := io.Copy(io.Discard, x.answer.Body)
	return err
}

// finish sends the request and reads the head of its answer.
func (p *Pool) finish(ctx context.Context, c *conn, r Request, l *lingeringCloser) (*Answer, error) {
	a, err := p.exchange(c, r)
	if err != nil {
		kept := l.stop()
		p.discard(c)
		if cause := context.Cause(ctx); cause != nil && !kept {
			err = errors.CombineErrors(cause, err)
			return nil, &ggscore.CallError{Addr: r.Addr, Kind: ggscore.FailureCancelled, Cause: err}
		}
		return nil, &ggscore.CallError{Addr: r.Addr, Kind: ggscore.FailureBroken, Cause: err}
	}
	a.closer = l
	return a, nil
}

func (p *Pool) exchange(c *conn, r Request) (*Answer, error) {
	c.carried.add(r.ID)
	written, err := write(c, r)
	if err != nil {
		return nil, err
	}
	a, err := p.readAnswer(c, r)
	if err != nil {
		return nil, err
	}
	a.written = written
	return a, nil
}

// write writes the request. The rest of a long one is written while its answer is read: an endpoint may answer before it
// has read the body, and close or read on later. Its answer is more specific than an error of the write.
func write(c *conn, r Request) (<-chan error, error) {
	b := encode(r)
	if len(b) <= maxSyncBytes {
		_, err := c.Write(b)
		if len(r.Body) > 0 {
			err = nil
		}
		return nil, err
	}
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(b)
		written <- err
	}()
	return written, nil
}

// readAnswer reads the head of the request's answer.
func (p *Pool) readAnswer(c *conn, r Request) (*Answer, error) {
	req := &http.Request{Method: r.Method}
	var got []string
	for range maxMismatched {
		c.headLimit.remaining = maxHeadBytes
		resp, err := readHead(c.r, req)
		c.headLimit.remaining = noLimit
		if err != nil {
			return nil, err
		}
		got = answeredIDs(resp.Header, r.IDHeader)
		switch {
		case r.IDHeader == "", len(got) == 0 && !c.reused:
			return p.answer(c, resp), nil
		case len(got) == 0:
			// It may be another answer to the connection's last request.
			return nil, &MismatchedAnswersError{Want: r.ID}
		case len(got) == 1 && got[0] == string(r.ID):
			a := p.answer(c, resp)
			a.Identified = true
			return a, nil
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxMismatchedBytes); !errors.Is(err, io.EOF) {
			return nil, &MismatchedAnswersError{Want: r.ID, Got: got}
		}
	}
	return nil, &MismatchedAnswersError{Want: r.ID, Got: got}
}

// answeredIDs returns the distinct IDs of the requests that an answer names.
func answeredIDs(h http.Header, name string) []string {
	var ids []string
	for _, v := range h.Values(name) {
		if v != "" && !slices.Contains(ids, v) {
			ids = append(ids, v)
		}
	}
	return ids
}

func (p *Pool) answer(c *conn, resp *http.Response) *Answer {
	a := &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		pool: p, conn: c, resp: resp,
	}
	a.Framing = framingOf(resp)
	a.Body = &eofReader{r: resp.Body, answer: a}
	if resp.ContentLength == 0 {
		a.complete = true
	}
	return a
}

// Close ends the exchange. It returns the connection to the pool if the answer had explicit framing
// and was read to its end, and closes the connection otherwise.
func (a *Answer) Close() {
	a.once.Do(func() {
		if !a.closer.stop() || !a.complete || !a.wrote() || a.Framing == FramingClose || a.resp.Close || a.conn.r.Buffered() > 0 {
			a.pool.discard(a.conn)
			return
		}
		a.pool.put(a.conn, a.idleTimeout())
	})
}

// wrote reports whether the whole request has been written.
func (a *Answer) wrote() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// Abort closes the connection.
func (a *Answer) Abort() { a.closer.close() }

// Abandon closes the connection after Request.Linger, unless the answer is closed before.
func (a *Answer) Abandon() { a.closer.begin() }

// Tunneled reports whether the answer comes through another VM.
func (a *Answer) Tunneled() bool { return a.conn.tunneled() }

// Reused reports whether the exchange used a pooled connection instead of a new one.
func (a *Answer) Reused() bool { return a.conn.reused }

// ConnAge returns the time for which the exchange's connection has been open.
func (a *Answer) ConnAge() time.Duration { return a.pool.options.Now().Sub(a.conn.openedAt) }

// idleTimeout returns how long the connection may be kept idle. If the endpoint announced its own
// timeout in the Keep-Alive header, the result is shorter than that by idleMargin.
func (a *Answer) idleTimeout() time.Duration {
	for part := range strings.SplitSeq(a.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return min(time.Duration(n)*time.Second-idleMargin, a.pool.options.IdleTimeout)
		}
	}
	return a.pool.options.IdleTimeout
}

// An eofReader marks the answer as complete at the end of its body. An answer that ends with its
// connection is complete only if the endpoint is known to have closed it.
type eofReader struct {
	r      io.Reader
	answer *Answer
}

// Read implements io.Reader.
func (e *eofReader) Read(b []byte) (int, error) {
	n, err := e.r.Read(b)
	if errors.Is(err, io.EOF) {
		if e.answer.Framing == FramingClose && !e.answer.conn.showsEnd() {
			return n, io.ErrUnexpectedEOF
		}
		e.answer.complete = true
	}
	return n, err
}

// encode returns head and body of the request in one buffer, so that they are sent in one write.
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
