package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// A result is what a client got for a request.
type result struct {
	id       string
	sent     time.Time
	ended    time.Time
	status   int
	stamp    string
	close    bool
	body     string
	complete bool
	err      error
}

func (r *result) String() string {
	return fmt.Sprintf("%s: status %d, complete %v, %d bytes, %.3f s, err %v", r.id, r.status, r.complete, len(r.body), r.ended.Sub(r.sent).Seconds(), r.err)
}

// A client has one connection that it keeps.
type client struct {
	addr string
	c    net.Conn
	r    *bufio.Reader
}

func (c *client) dial() error {
	n, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return err
	}
	c.c, c.r = n, bufio.NewReader(n)
	return nil
}

// do sends a request and reads its whole answer.
func (c *client) do(method, path, id string, deadline time.Duration, headers, body string) *result {
	x := &result{id: id}
	if c.c == nil {
		if x.err = c.dial(); x.err != nil {
			return x
		}
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n",
		method, path, hostName, id, deadline.Milliseconds(), headers, len(body))
	x.sent = time.Now()
	_ = c.c.SetDeadline(x.sent.Add(deadline + 500*time.Millisecond))
	defer func() { x.ended = time.Now() }()
	if _, x.err = io.WriteString(c.c, head+body); x.err != nil {
		c.drop()
		return x
	}
	a, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		x.err = err
		c.drop()
		return x
	}
	x.status, x.stamp, x.close = a.StatusCode, a.Header.Get("Server-Stamp"), a.Close
	b, err := io.ReadAll(a.Body)
	x.body, x.err, x.complete = string(b), err, err == nil
	if err != nil || a.Close {
		c.drop()
	}
	return x
}

func (c *client) drop() {
	if c.c != nil {
		_ = c.c.Close()
		c.c = nil
	}
}

// streamHeaders are the headers of a request for a stream of a number of events.
func streamHeaders(events int) string {
	return fmt.Sprintf("Model: %s\r\nToken-Count: 200,%d\r\nPrompt-Prefix: 5c1e07a2:155,e4402b7d:45\r\n", modelName, 5*events)
}
