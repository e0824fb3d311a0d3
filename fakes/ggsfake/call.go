package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// A callCommand calls a test double and prints the answer, so that scripts need no other HTTP
// client.
type callCommand struct {
	executor
	Addr   address `long:"addr" value-name:"ADDR" required:"true" description:"address of the test double"`
	Method string  `long:"method" default:"GET" description:"HTTP method"`
	Path   string  `long:"path" required:"true" description:"path of the request"`
	Body   string  `long:"body" description:"JSON body of the request"`
	Host   string  `long:"host" description:"value of the Host header; the address by default"`
	// Headers have the form NAME: VALUE.
	Headers []string `long:"header" value-name:"HEADER" description:"request header as NAME: VALUE; may be repeated"`
}

func (c *callCommand) call(ctx context.Context, out io.Writer) error {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Addr.String()+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return errors.Wrap(err, "create the request")
	}
	req.Host = c.Host
	for _, h := range c.Headers {
		n, v, _ := strings.Cut(h, ":")
		req.Header.Set(n, strings.TrimSpace(v))
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return errors.Wrap(err, "send the request")
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(out, resp.Body); err != nil {
		return errors.Wrap(err, "read the answer")
	}
	_, _ = fmt.Fprintln(out)
	if resp.StatusCode != http.StatusOK {
		return &CallFailedError{Status: resp.StatusCode}
	}
	return nil
}
