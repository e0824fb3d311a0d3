package ggsfakesite_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
)

// Guards against a reader that doesn't read and holds up all other calls of the store.
func TestSlowReaderHoldsUpNobody(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := ggsfakesite.NewStore()
	s.Put("op/config", make([]byte, 32<<20))
	v := httptest.NewServer(s)
	defer v.Close()
	slow, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", v.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = slow.Close() }()
	_, err = io.WriteString(slow, "GET /greengageslip/kv-range?pathPrefix=op/ HTTP/1.1\r\nHost: store\r\n\r\n")
	c.Assert(err, qt.IsNil)
	_, err = slow.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)

	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, v.URL+"/greengageslip/kv-range?pathPrefix=own/", nil)
	c.Assert(err, qt.IsNil)
	resp, err := v.Client().Do(r)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}
