package ggsfakesite_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
)

// Guards against a client that doesn't read its answer and thereby blocks all other calls to
// the store.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
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

// Guards against a test double that keeps writes that a real store loses when it is restored
// from an older backup.
func TestRestoreFromBackup(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := ggsfakesite.NewStore()
	v := httptest.NewServer(s)
	defer v.Close()
	get := func(query string) (status int, epoch, body string) {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, v.URL+"/greengageslip/"+query, nil)
		c.Assert(err, qt.IsNil)
		resp, err := v.Client().Do(r)
		c.Assert(err, qt.IsNil)
		b, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		return resp.StatusCode, resp.Header.Get("Store-Era"), string(b)
	}
	txn := func(key string, revision uint64) error {
		body := fmt.Sprintf(`{"expected":[{"key":%q,"revision":%d}],"setKeys":[{"key":%q,"value":"eA=="}]}`, key, revision, key)
		r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, v.URL+"/greengageslip/kv-txn", strings.NewReader(body))
		c.Assert(err, qt.IsNil)
		resp, err := v.Client().Do(r)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	s.Put("a", []byte("1"))
	k := s.Backup()
	s.Put("b", []byte("2"))
	s.HoldWrites(1)
	c.Assert(txn("a", 2), qt.IsNotNil)
	s.Put("a", []byte("3"))
	s.Restore(k)

	c.Check(s.Get("b"), qt.IsNil)
	c.Check(string(s.Get("a")), qt.Equals, "1")
	status, epoch, body := get("kv-range?pathPrefix=")
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(epoch, qt.Equals, "2")
	c.Check(strings.HasSuffix(body, `"asOf":2}`), qt.IsTrue, qt.Commentf("%s", body))
	status, epoch, _ = get("kv-watch?pathPrefix=&after=4&waitMs=1000")
	c.Check(status, qt.Equals, http.StatusGone)
	c.Check(epoch, qt.Equals, "2")
	s.SetUnavailable(true)
	_, epoch, _ = get("kv-range?pathPrefix=")
	c.Check(epoch, qt.Equals, "2")

	// The condition of the held write is met again: the backup has the expected revision.
	c.Check(s.ApplyHeld(), qt.Equals, 1)
	c.Check(string(s.Get("a")), qt.Equals, "x")
}
