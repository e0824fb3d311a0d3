package ggsfakeplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
)

// Handler returns the handler of the HTTP API.
func (p *Platform) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	v := g.Group("/v1")
	v.GET("/kv", p.limitReads, p.handleGet)
	v.PUT("/kv", p.limitWrites, p.handlePut)
	v.DELETE("/kv", p.limitWrites, p.handleDelete)
	v.GET("/list", p.limitReads, p.handleList)
	v.GET("/watch", p.limitReads, p.handleWatch)
	v.POST("/leases", p.limitWrites, p.handleGrant)
	v.PUT("/leases/:id", p.limitWrites, p.handleRenew)
	v.DELETE("/leases/:id", p.limitWrites, p.handleRevoke)
	v.GET("/vms", p.limitReads, p.handleListVMs)
	v.PUT("/vms", p.handleSetVMs)
	v.POST("/faults", p.handleFaults)
	v.GET("/calls", p.handleCalls)
	return g
}

func (p *Platform) handleCalls(g *gin.Context) {
	c := p.Calls()
	g.JSON(http.StatusOK, callsWire(c))
}

func (p *Platform) handleDelete(g *gin.Context) {
	var w deleteWire
	if !bind(g, &w) {
		return
	}
	p.write(g, w.Key, func() (any, error) {
		r, err := p.store.delete(w.Key, w.Prev)
		return revisionWire{Revision: r}, err
	})
}

func (p *Platform) handleFaults(g *gin.Context) {
	var w faultsWire
	if !bind(g, &w) {
		return
	}
	f, err := faultsOf(w)
	if err != nil {
		fail(g, err)
		return
	}
	p.SetFaults(f)
	g.JSON(http.StatusOK, w)
}

func (p *Platform) handleGet(g *gin.Context) {
	k := g.Query("key")
	p.mu.Lock()
	p.sweep()
	w := p.wireOf(k)
	p.mu.Unlock()
	g.JSON(http.StatusOK, w)
}

func (p *Platform) handleGrant(g *gin.Context) {
	var w grantWire
	if !bind(g, &w) {
		return
	}
	ttl, err := durationOf(w.TTL)
	if err != nil {
		fail(g, err)
		return
	}
	p.write(g, "", func() (any, error) {
		id, err := p.store.grant(p.options.Now(), ttl)
		return leaseWire{Lease: id}, err
	})
}

func (p *Platform) handleList(g *gin.Context) {
	p.mu.Lock()
	p.sweep()
	ks := p.store.list(g.Query("prefix"))
	w := p.entriesOf(ks)
	p.mu.Unlock()
	g.JSON(http.StatusOK, w)
}

func (p *Platform) handleListVMs(g *gin.Context) {
	p.mu.Lock()
	vms, odd := p.visibleVMs(), p.oddVMs
	p.mu.Unlock()
	l := make([]any, 0, len(vms)+len(odd))
	for _, b := range odd {
		l = append(l, json.RawMessage(b))
	}
	for _, v := range vms {
		l = append(l, wireOfVM(v))
	}
	g.JSON(http.StatusOK, map[string]any{"vms": l})
}

func (p *Platform) handlePut(g *gin.Context) {
	var w putWire
	if !bind(g, &w) {
		return
	}
	if len(w.Value) > p.options.MaxValueBytes {
		refuse(g, http.StatusRequestEntityTooLarge, errorBodyWire{Kind: "tooLarge", Detail: "value too large"})
		return
	}
	p.write(g, w.Key, func() (any, error) {
		r, err := p.store.put(w.Key, w.Value, w.Prev, w.Lease)
		return revisionWire{Revision: r}, err
	})
}

func (p *Platform) handleRenew(g *gin.Context) {
	id, ok := leaseOf(g)
	if !ok {
		return
	}
	p.write(g, "", func() (any, error) {
		return leaseWire{Lease: id}, p.store.renew(p.options.Now(), id)
	})
}

func (p *Platform) handleRevoke(g *gin.Context) {
	id, ok := leaseOf(g)
	if !ok {
		return
	}
	p.write(g, "", func() (any, error) {
		return leaseWire{Lease: id}, p.store.revoke(id)
	})
}

func (p *Platform) handleSetVMs(g *gin.Context) {
	b, err := io.ReadAll(http.MaxBytesReader(g.Writer, g.Request.Body, maxBodyBytes))
	if err == nil {
		err = p.ReadVMs(b)
	}
	if err != nil {
		fail(g, err)
		return
	}
	g.Data(http.StatusOK, "application/json", b)
}

// entriesOf returns the entries of keys. It is called with the lock held.
func (p *Platform) entriesOf(ks []string) entriesWire {
	w := entriesWire{Entries: make([]entryWire, 0, len(ks)), Revision: p.store.revision}
	for _, k := range ks {
		w.Entries = append(w.Entries, p.wireOf(k))
	}
	return w
}

// wireOf returns an entry as the API encodes it. A deleted entry has revision 0 here and
// keeps its revision in watches only. wireOf is called with the lock held.
func (p *Platform) wireOf(k string) entryWire {
	e := p.store.get(k)
	return entryWire{Key: k, Value: e.value, Revision: e.revision, Lease: e.lease}
}

// maxBodyBytes limits a request body. It leaves room for the base64 encoding of a value of the
// default maximum size.
const maxBodyBytes = 2 << 20

func bind(g *gin.Context, out any) bool {
	g.Request.Body = http.MaxBytesReader(g.Writer, g.Request.Body, maxBodyBytes)
	if err := g.ShouldBindJSON(out); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			refuse(g, http.StatusRequestEntityTooLarge, errorBodyWire{Kind: "tooLarge", Detail: err.Error()})
			return false
		}
		fail(g, &badCallError{detail: err.Error()})
		return false
	}
	return true
}

// fail answers with the status of the error.
func fail(g *gin.Context, err error) {
	var conflict *conflictError
	var expired *leaseExpiredError
	switch {
	case errors.As(err, &conflict):
		refuse(g, http.StatusConflict, errorBodyWire{Kind: "conflict", Detail: err.Error(), Revision: conflict.revision})
	case errors.As(err, &expired):
		refuse(g, http.StatusGone, errorBodyWire{Kind: "leaseLapsed", Detail: err.Error()})
	default:
		refuse(g, http.StatusBadRequest, errorBodyWire{Kind: "badCall", Detail: err.Error()})
	}
}

func leaseOf(g *gin.Context) (uint64, bool) {
	id, err := strconv.ParseUint(g.Param("id"), 10, 64)
	if err != nil {
		fail(g, &badCallError{detail: err.Error()})
		return 0, false
	}
	return id, true
}

func refuse(g *gin.Context, status int, w errorBodyWire) {
	g.AbortWithStatusJSON(status, errorWire{Error: w})
}

func faultApplies(f Faults, key string) bool { return strings.HasPrefix(key, f.LosePrefix) }

// waitOf returns the wait of a watch, at most maxWait.
func waitOf(g *gin.Context) (time.Duration, error) {
	d, err := durationOf(g.Query("wait"))
	return min(d, maxWait), err
}

const maxWait = time.Minute
