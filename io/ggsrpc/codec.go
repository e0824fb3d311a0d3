package ggsrpc

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync"

	"greengageslip/core/ggsbudget"
	"greengageslip/io/ggsintake"
)

const (
	// messageCost is the memory that a message takes for each of its bytes: itself and its decoded value. typeCost is that of a message
	// that defines a type, which is kept.
	messageCost = 2
	typeCost    = 4
	// callBytes is the memory that a call in progress takes beside its message.
	callBytes = 24 << 10
)

// A ContextSetter is the argument of a method that waits. Its context ends with the connection of the call.
type ContextSetter interface{ SetContext(ctx context.Context) }

// A serverCodec is a codec of encoding/gob that draws memory for messages and calls before it takes it.
type serverCodec struct {
	server *Server
	// client is the connection as the process accepted it, nil if that isn't bounded.
	client *ggsintake.Conn
	dec    *gob.Decoder
	enc    *gob.Encoder
	buf    *bufio.Writer
	// pending is what was drawn for the messages of the call that is being read, seq its number, and method its method.
	pending int64
	seq     uint64
	method  string
	served  bool
	close   func() error
	// ctx ends with the connection.
	ctx    context.Context //nolint:containedctx // net/rpc reads calls without one
	cancel context.CancelFunc

	// mu is a leaf lock and guards drawn.
	mu sync.Mutex
	// drawn has what was drawn for the calls in progress, by their numbers. A client may use a number twice.
	drawn map[uint64][]drawing
}

// A drawing is what was drawn for a call. made is set if the call was made, and not refused.
type drawing struct {
	bytes int64
	made  bool
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

func newServerCodec(ctx context.Context, s *Server, c net.Conn) *serverCodec {
	codec := &serverCodec{server: s, drawn: map[uint64][]drawing{}, close: sync.OnceValue(c.Close)}
	codec.ctx, codec.cancel = context.WithCancel(ctx)
	limited := &limitedConn{Conn: c}
	if client, ok := c.(*ggsintake.Conn); ok {
		codec.client = client
		limited.Conn, limited.announce, limited.define = &clientConn{Conn: client}, codec.draw, codec.hold
	}
	codec.dec = gob.NewDecoder(bufio.NewReader(limited))
	codec.buf = bufio.NewWriter(c)
	codec.enc = gob.NewEncoder(codec.buf)
	return codec
}

// A clientConn records the progress of a message.
type clientConn struct{ *ggsintake.Conn }

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.Await(ggsbudget.WaitHead)
		c.Advance(n)
	}
	return n, err
}

// draw takes memory for a message.
func (c *serverCodec) draw(length uint64) error {
	n := int64(length) * messageCost //nolint:gosec // bounded by maxMessageBytes
	if err := c.client.Draw(ggsbudget.KindHead, n); err != nil {
		return err
	}
	c.pending += n
	return nil
}

// hold takes memory until the end of the connection for a message that defines a type, instead of what was drawn for it.
func (c *serverCodec) hold(length uint64) error {
	n := int64(length) //nolint:gosec // bounded by maxMessageBytes
	c.client.Return(ggsbudget.KindHead, n*messageCost)
	c.pending -= n * messageCost
	return c.client.Hold(n * typeCost)
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if c.client != nil && c.served {
		c.client.Await(ggsbudget.WaitIdle)
	}
	err := c.dec.Decode(r)
	if err != nil {
		c.cancel()
	}
	c.seq, c.method = r.Seq, r.ServiceMethod
	return err
}

// ReadRequestBody implements rpc.ServerCodec. A call for which there is no memory is answered with a *ggsbudget.FullError.
func (c *serverCodec) ReadRequestBody(body any) error {
	if err := c.dec.Decode(body); err != nil {
		return err
	}
	c.served = true
	if s, ok := body.(ContextSetter); ok {
		s.SetContext(c.ctx)
	}
	d := drawing{bytes: c.pending}
	c.pending = 0
	var err error
	if body != nil {
		err = c.begin(&d)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drawn[c.seq] = append(c.drawn[c.seq], d)
	return err
}

// begin draws memory for a call that is to be made, and waits until the calls of connections that have ended leave room for it.
func (c *serverCodec) begin(d *drawing) error {
	if c.client != nil {
		n := callBytes + c.server.answerBytes(c.method)
		if err := c.client.Draw(ggsbudget.KindHead, n); err != nil {
			return err
		}
		d.bytes += n
	}
	select {
	case c.server.calls <- struct{}{}:
		d.made = true
		return nil
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.end(r.Seq)
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.buf.Flush()
	}
	if err != nil {
		// What follows can't be decoded.
		_ = c.Close()
	}
	return err
}

// end gives back what was drawn for a call.
func (c *serverCodec) end(seq uint64) {
	d := c.forget(seq)
	if d.made {
		<-c.server.calls
	}
	if c.client != nil {
		c.client.Return(ggsbudget.KindHead, d.bytes)
	}
}

// forget returns what was drawn for a call that has ended.
func (c *serverCodec) forget(seq uint64) drawing {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.drawn[seq]
	if len(l) == 0 {
		return drawing{}
	}
	if len(l) == 1 {
		delete(c.drawn, seq)
	} else {
		c.drawn[seq] = l[1:]
	}
	return l[0]
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error {
	c.cancel()
	return c.close()
}
