package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// A callCommand calls a stand-in, so that scripts need no other client.
type callCommand struct {
	executor
	Addr   address `long:"addr" value-name:"ADDR" required:"true" description:"the stand-in"`
	Method string  `long:"method" default:"GET" description:"the method"`
	Path   string  `long:"path" required:"true" description:"the path"`
	Body   string  `long:"body" description:"the JSON body"`
	Host   string  `long:"host" description:"the host that the request names, if not the address"`
	// Headers are NAME: VALUE.
	Headers []string `long:"header" value-name:"HEADER" description:"a header; may be repeated"`
}

func (c *callCommand) call(ctx context.Context, out io.Writer) error {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Addr.String()+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return errors.Wrap(err, "make the call")
	}
	req.Host = c.Host
	for _, h := range c.Headers {
		n, v, _ := strings.Cut(h, ":")
		req.Header.Set(n, strings.TrimSpace(v))
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return errors.Wrap(err, "call")
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
