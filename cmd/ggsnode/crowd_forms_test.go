package ggsnode_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"math"
	"net"
	"net/netip"
	"net/rpc"
	"strconv"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
	"greengageslip/io/ggswire"
)

// A crowdForm is what each client of a crowd sends. Its connection stays open.
type crowdForm struct {
	clients int
	send    func(c net.Conn)
}

// gather connects a crowd and returns once each client has sent what it sends, or was cut off. The crowd leaves at the test's end.
func (f crowdForm) gather(c *qt.C, addr netip.AddrPort) {
	var all sync.WaitGroup
	for range f.clients {
		all.Go(func() {
			d := net.Dialer{Timeout: crowdSendTime}
			n, err := d.DialContext(context.Background(), "tcp", addr.String())
			if err != nil {
				return // to refuse a client is allowed
			}
			c.Cleanup(func() { _ = n.Close() })
			_ = n.SetDeadline(time.Now().Add(crowdSendTime))
			f.send(n)
		})
	}
	all.Wait()
}

// text returns a client that sends a text and waits.
func text(s string) func(net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, s) }
}

// pieces returns a client that sends a text in small pieces and waits.
func pieces(s string) func(net.Conn) {
	const piece = 16 << 10
	return func(c net.Conn) {
		for rest := s; len(rest) > 0; {
			n := min(piece, len(rest))
			if _, err := io.WriteString(c, rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
			time.Sleep(time.Millisecond)
		}
	}
}

// endless returns a client that sends a beginning and then one text again and again.
func endless(begin, again string) func(net.Conn) {
	return func(c net.Conn) {
		if _, err := io.WriteString(c, begin); err != nil {
			return
		}
		for sent := 0; sent < endlessBytes; sent += len(again) {
			if _, err := io.WriteString(c, again); err != nil {
				return
			}
		}
	}
}

// shortLines returns distinct header lines of the given size in all.
func shortLines(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}

// headForms are the forms that need no body. The requests are for a path.
func headForms(path string) map[string]crowdForm {
	begin := "GET " + path + " HTTP/1.1\r\nHost: " + ggsfakesite.Host + "\r\n"
	return map[string]crowdForm{
		"heads over the limit":                        {crowdClients, text(begin + "A: " + strings.Repeat("a", 1<<20) + "\r\n\r\n")},
		"heads without end":                           {crowdClients, endless(begin, shortLines(32<<10))},
		"heads of many short lines that stop short":   {crowdClients, text(begin + shortLines(60<<10))},
		"heads of one long line that stop short":      {crowdClients, text(begin + "A: " + strings.Repeat("a", 60<<10))},
		"empty lines without end":                     {crowdClients, endless("", strings.Repeat("\r\n", 32<<10))},
		"clients that say nothing":                    {silentClients, text("")},
		"requests in a row whose answers aren't read": {crowdClients, endless("", strings.Repeat(begin+"\r\n", 100))},
		"bodies that stop short where none is read": {crowdClients, text(strings.Replace(begin, "GET", "PUT", 1) +
			"Content-Length: " + strconv.Itoa(crowdBody) + "\r\n\r\n" + strings.Repeat("a", 64<<10))},
	}
}

// bodyForms are the forms of requests with bodies. Head is the beginning of each head.
func bodyForms(head string) map[string]crowdForm {
	length := head + "Content-Length: " + strconv.Itoa(crowdBody) + "\r\n"
	short := strings.Repeat("a", crowdBody-1)
	chunked := head + "Transfer-Encoding: chunked\r\n"
	return map[string]crowdForm{
		"whole bodies that stop short":                      {crowdClients, text(length + "\r\n" + short)},
		"bodies in pieces that stop short":                  {crowdClients, pieces(length + "\r\n" + short)},
		"large chunks that stop short":                      {crowdClients, text(chunked + "\r\n" + strconv.FormatInt(crowdBody, 16) + "\r\n" + short)},
		"very small chunks that stop short":                 {crowdClients, text(chunked + "\r\n" + strings.Repeat("1\r\na\r\n", crowdBody/4))},
		"chunks with extensions that stop short":            {crowdClients, text(chunked + "\r\n" + strings.Repeat("1000;"+strings.Repeat("e", 1000)+"\r\n"+strings.Repeat("a", 0x1000)+"\r\n", crowdBody/0x1000-1))},
		"trailers without end":                              {crowdClients, endless(chunked+"\r\n1\r\na\r\n0\r\n", shortLines(32<<10))},
		"clients that wait for 100 Continue":                {crowdClients, text(length + "Expect: 100-continue\r\n\r\n")},
		"heads of many short lines beside bodies that wait": {crowdClients, text(length + shortLines(15<<10) + "\r\n")},
		"large chunked bodies whole, then silence":          {crowdClients, text(chunked + "\r\n" + strconv.FormatInt(crowdBody, 16) + "\r\n" + short + "a\r\n0\r\n\r\n")},
	}
}

// members returns short members of a JSON object of the given size in all.
func members(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "\"%x\":0,", n)
	}
	return b.String()
}

// rpcForms are the forms of calls between processes. The method and its arguments are known to the process.
func rpcForms(method string, args any) map[string]crowdForm {
	const lengthOf9MB = "\xfd\x90\x00\x00"
	row := func(method string, args any) string {
		var b bytes.Buffer
		e := gob.NewEncoder(&b)
		for n := range uint64(20_000) {
			// A buffer takes all bytes.
			_ = e.Encode(rpc.Request{ServiceMethod: method, Seq: n})
			_ = e.Encode(args)
		}
		return b.String()
	}
	return map[string]crowdForm{
		"long messages that are announced only":    {crowdClients, text(lengthOf9MB)},
		"messages of a malformed type":             {crowdClients, text("\x05\x80\x00\x00\x00\x00")},
		"long messages that stop short":            {crowdClients, text(lengthOf9MB + strings.Repeat("a", 1<<20))},
		"empty messages without end":               {crowdClients, endless("", strings.Repeat("\x00", 32<<10))},
		"clients that say nothing":                 {silentClients, text("")},
		"calls in a row whose answers aren't read": {crowdClients, text(row(method, args))},
		"unknown calls in a row":                   {crowdClients, text(row("Unknown.Method", struct{ X int }{}))},
	}
}

// gatewayHead begins the head of a request of a gateway's caller.
const gatewayHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Market: cr\r\nX-Service: asistente\r\n"

// dispatchForms are the forms of calls to a dispatcher, which wait.
func dispatchForms() map[string]crowdForm {
	return rpcForms("Dispatch.Summary", ggswire.SummaryArgs{After: math.MaxInt64, Wait: time.Minute})
}

// comeBack connects again and again until the context ends, and stays until it is closed.
func (f crowdForm) comeBack(ctx context.Context, addr netip.AddrPort) {
	for ctx.Err() == nil {
		n, err := (&net.Dialer{Timeout: crowdSendTime}).DialContext(ctx, "tcp", addr.String())
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = n.Close() })
		_ = n.SetDeadline(time.Now().Add(crowdSendTime))
		f.send(n)
		_, _ = io.Copy(io.Discard, n)
		stop()
		_ = n.Close()
	}
}
