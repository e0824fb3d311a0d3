package ggsintake

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"time"

	"greengageslip/core/ggsbudget"
)

const (
	// headByteCost and headLineCost are the memory that a head takes once it is parsed: its text, its copies, and an entry for each
	// line.
	headByteCost = 3
	headLineCost = 256
	// refusalTime bounds the sending of refusal, and refusalBytes what is discarded behind it.
	refusalTime  = 20 * time.Millisecond
	refusalBytes = 256 << 10
	// refusal answers a head for which there is no memory.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.300\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// A Conn is an accepted connection.
type Conn struct {
	net.Conn
	intake *Intake
	class  ggsbudget.Class
	// holder is guarded by Intake.mu.
	holder *ggsbudget.Holder

	// http is set while net/http serves the connection, and serving from the end of a request's head to the end of its answer.
	http    atomic.Bool
	serving atomic.Bool
	// writing is set while an answer is written.
	writing atomic.Bool
	// lines counts the lines in the last bytes read, which may be the beginning of the next head.
	lines atomic.Int64
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. Bytes of a head are drawn for before they are passed on.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.serving.Load() {
		c.awaitFirst()
	}
	n, err := c.Conn.Read(p)
	if n == 0 || !c.http.Load() {
		return n, err
	}
	lines := int64(bytes.Count(p[:n], []byte{'\n'}))
	if c.serving.Load() {
		c.lines.Store(lines)
		return n, err
	}
	full := c.intake.draw(func(now time.Time) ([]*ggsbudget.Holder, error) {
		c.intake.table.Wait(now, c.holder, ggsbudget.WaitHead)
		c.intake.table.Advance(now, c.holder, n)
		return c.intake.table.Draw(now, c.holder, ggsbudget.KindHead, int64(n)*headByteCost+(lines+c.lines.Swap(0))*headLineCost)
	})
	if full != nil {
		c.refuse()
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: full}
	}
	return n, err
}

// refuse answers a head that isn't read. What the client has sent meanwhile is discarded, since the system would reset the connection
// otherwise, and the answer with it.
func (c *Conn) refuse() {
	// Errors mean that the client has left.
	_ = c.SetDeadline(c.intake.now().Add(refusalTime))
	_, _ = io.WriteString(c.Conn, refusal)
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, refusalBytes))
}

// Write implements net.Conn. It fails once the client has read nothing for AnswerTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Store(true)
	defer c.writing.Store(false)
	i := c.intake
	i.mu.Lock()
	now := i.now()
	before, waited := c.holder.Waiting()
	i.table.Wait(now, c.holder, ggsbudget.WaitAnswer)
	i.mu.Unlock()
	// An error means that the connection has ended, as the write finds.
	_ = c.SetWriteDeadline(now.Add(AnswerTimeout))
	n, err := c.Conn.Write(p)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.table.Work(c.holder)
	if waited {
		i.table.Wait(i.now(), c.holder, before)
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.intake.mu.Lock()
	c.intake.table.Close(c.holder)
	delete(c.intake.conns, c.holder)
	c.intake.mu.Unlock()
	return c.Conn.Close()
}

// giveWay closes the connection, or ends the reading of a body.
func (c *Conn) giveWay(interrupted bool) {
	if interrupted {
		// An error means that the connection has ended.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if t, ok := c.Conn.(*net.TCPConn); ok && c.writing.Load() {
		// What the client doesn't read is discarded.
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// Await records that the process waits for the client from now on.
func (c *Conn) Await(w ggsbudget.Wait) {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.intake.table.Wait(c.intake.now(), c.holder, w)
}

// awaitFirst records that the process waits for the first head, unless it waits for something already.
func (c *Conn) awaitFirst() {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	if _, waits := c.holder.Waiting(); !waits {
		c.intake.table.Wait(c.intake.now(), c.holder, ggsbudget.WaitHead)
	}
}

// Advance records bytes that the client has sent.
func (c *Conn) Advance(n int) {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.intake.table.Advance(c.intake.now(), c.holder, n)
}

// Draw takes memory until the end of the request. The error is a *ggsbudget.FullError.
func (c *Conn) Draw(k ggsbudget.Kind, n int64) error {
	return c.intake.draw(func(now time.Time) ([]*ggsbudget.Holder, error) { return c.intake.table.Draw(now, c.holder, k, n) })
}

// Hold takes memory until the end of the connection. The error is a *ggsbudget.FullError.
func (c *Conn) Hold(n int64) error {
	return c.intake.draw(func(now time.Time) ([]*ggsbudget.Holder, error) { return c.intake.table.Hold(now, c.holder, n) })
}

// work records that the process doesn't wait for the client.
func (c *Conn) work() {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.intake.table.Work(c.holder)
}

// Return gives back a part of what was drawn.
func (c *Conn) Return(k ggsbudget.Kind, n int64) {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.intake.table.Return(c.holder, k, n)
}

// begin takes a place in flight.
func (c *Conn) begin() error {
	return c.intake.draw(func(now time.Time) ([]*ggsbudget.Holder, error) { return c.intake.table.Begin(now, c.holder) })
}

// idle records that an answer has ended, and that the process waits for the next request.
func (c *Conn) idle() {
	c.serving.Store(false)
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.intake.table.End(c.holder)
	c.intake.table.Wait(c.intake.now(), c.holder, ggsbudget.WaitIdle)
}

// interrupted reports whether the reading of the request's body was ended.
func (c *Conn) interrupted() bool {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	return c.holder.Interrupted
}
