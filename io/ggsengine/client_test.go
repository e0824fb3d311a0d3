package ggsengine_test

import (
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakebench"
	"greengageslip/fakes/ggsfakeengine"
	"greengageslip/io/ggsengine"
)

// adapterA is the adapter that most tests use.
func adapterA() ggscore.AdapterRef { return ggscore.AdapterRef{Name: "deposits-es", Version: "v2"} }

// A fixture is a fake engine with its server and a client.
type fixture struct {
	engine *ggsfakeengine.Engine
	client *ggsengine.Client
	server *httptest.Server
	addr   netip.AddrPort
}

func newFixture(c *qt.C, change func(*ggsfakeengine.Options)) *fixture {
	o := ggsfakeengine.DefaultOptions()
	o.ID = "r1"
	o.TokenInterval = time.Millisecond
	o.FirstToken = time.Millisecond
	o.DefaultTokens = 5
	if change != nil {
		change(&o)
	}
	e := ggsfakeengine.New(o)
	s := ggsfakebench.Serve(c, e.Handler())
	cl := newClient(c, ggsengine.DefaultSettings())
	c.Cleanup(e.Close)
	return &fixture{engine: e, client: cl, server: s, addr: ggsfakebench.AddrOf(c, s)}
}

func newClient(c *qt.C, s ggsengine.Settings) *ggsengine.Client {
	cl := ggsengine.NewClient(s)
	c.Cleanup(cl.Close)
	return cl
}

// request returns a streamed request for the adapter.
func request(id string, a ggscore.AdapterRef, tokens int) *ggscore.Request {
	body := `{"model":"` + a.String() + `","stream":true,"max_tokens":` + strconv.Itoa(tokens) + `}`
	return &ggscore.Request{
		ID: ggscore.RequestID(id), Kind: ggscore.KindModel, Adapter: a, Body: []byte(body), Stream: true,
	}
}

// A collector is a sink that collects the chunks of an answer.
type collector struct{ chunks []ggscore.Chunk }

func (t *collector) collect(k ggscore.Chunk) error {
	t.chunks = append(t.chunks, k)
	return nil
}

// text checks that the chunks are numbered in order and that only the last is final, and
// returns their bytes.
func (t *collector) text(c *qt.C) string {
	var b strings.Builder
	for i, k := range t.chunks {
		c.Assert(k.Seq, qt.Equals, i)
		c.Assert(k.Final, qt.Equals, i == len(t.chunks)-1)
		b.Write(k.Data)
	}
	return b.String()
}

func TestStreamedRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newFixture(c, nil)
	ctx := ggsfakebench.Context(c)
	c.Assert(b.client.Load(ctx, b.addr, adapterA(), 1), qt.IsNil)

	var got collector
	c.Assert(b.client.Run(ctx, b.addr, request("q1", adapterA(), 3), got.collect), qt.IsNil)
	text := got.text(c)
	c.Assert(got.chunks, qt.HasLen, 4)
	c.Assert(got.chunks[0].Status, qt.Equals, 200)
	c.Assert(got.chunks[0].ContentType, qt.Equals, "text/event-stream")
	c.Assert(got.chunks[0].Served, qt.Equals, adapterA())
	for i := range 3 {
		c.Assert(text, qt.Contains, "deposits-es@v2/q1/"+strconv.Itoa(i)+" ")
	}
	c.Assert(strings.HasSuffix(text, "\n\ndata: [DONE]\n\n"), qt.IsTrue)
	c.Assert(b.engine.Runs(), qt.DeepEquals, map[string]int{"q1": 1})
}

func TestUnstreamedRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newFixture(c, nil)
	ctx := ggsfakebench.Context(c)
	b.engine.Preload(adapterA())

	r := request("q1", adapterA(), 3)
	r.Body = []byte(`{"model":"deposits-es@v2"}`)
	var got collector
	c.Assert(b.client.Run(ctx, b.addr, r, got.collect), qt.IsNil)
	c.Assert(got.text(c), qt.Contains, "deposits-es@v2/q1/4 ")
	c.Assert(got.chunks[0].Served, qt.Equals, adapterA())
}

func TestReport(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newFixture(c, nil)
	ctx := ggsfakebench.Context(c)
	c.Assert(b.client.Load(ctx, b.addr, adapterA(), 1), qt.IsNil)
	r, err := b.client.Report(ctx, b.addr)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Resident, qt.DeepEquals, []ggscore.ResidentAdapter{{Ref: adapterA()}})
	first := r.Incarnation
	b.engine.Restart()
	r, err = b.client.Report(ctx, b.addr)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Resident, qt.HasLen, 0)
	c.Assert(r.Incarnation, qt.Not(qt.Equals), first)
}
