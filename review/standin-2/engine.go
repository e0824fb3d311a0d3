package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// adapterLoadTime is how long an adapter takes to load, and adapterSlots how many a runner holds.
const (
	adapterLoadTime = 250 * time.Millisecond
	adapterSlots    = 16
)

// An order is an order as it arrived at a runner.
type order struct {
	at     time.Time
	holder string
	fence  uint64
	text   string
	status int
}

// An engine holds the adapters of a model runner, whose lock guards it.
type engine struct {
	ready  map[string]time.Time
	seq    uint64
	orders []order
	// crashed is set if the runner was ordered to load more than its slots hold.
	crashed bool
}

func (g *engine) adapters(now time.Time) (resident, coming []string) {
	resident, coming = []string{}, []string{}
	for a, at := range g.ready {
		if now.Before(at) {
			coming = append(coming, modelName+"/"+a+"@1")
			continue
		}
		resident = append(resident, a+"@1")
	}
	return resident, coming
}

// holds reports whether the adapter of a Model header is resident.
func (g *engine) holds(now time.Time, model string) bool {
	_, a, ok := strings.Cut(model, "/")
	if !ok {
		return true
	}
	at, known := g.ready[a]
	return known && !now.Before(at)
}

type orderWire struct {
	Operation    string  `json:"operation"`
	Model        string  `json:"model"`
	Adapter      string  `json:"adapter"`
	Expected     *uint64 `json:"expected"`
	Holder       string  `json:"holder"`
	FencingToken uint64  `json:"fencingToken"`
}

// order answers an order as the pages say.
func (n *runner) order(w http.ResponseWriter, r *http.Request) {
	var o orderWire
	now := time.Now()
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	status := n.engine.carryOut(now, &o)
	text := o.Operation + " " + o.Model + "/" + o.Adapter
	if o.Expected != nil {
		text += " expected " + strconv.FormatUint(*o.Expected, 10)
	}
	n.engine.orders = append(n.engine.orders, order{now, o.Holder, o.FencingToken, text, status})
	n.log.line("order at %s: holder %s, fence %d, %s: %d", n.id, o.Holder, o.FencingToken, text, status)
	w.WriteHeader(status)
}

func (g *engine) carryOut(now time.Time, o *orderWire) int {
	at, known := g.ready[o.Adapter]
	switch {
	case o.Adapter == "" && o.Operation == "load":
		return http.StatusOK
	case o.Operation == "load" && known && now.Before(at):
		return http.StatusAccepted
	case o.Operation == "load" && known, o.Operation == "unload" && !known:
		if o.Expected != nil && *o.Expected != g.seq {
			return http.StatusConflict
		}
		return http.StatusOK
	case o.Expected != nil && *o.Expected != g.seq:
		return http.StatusConflict
	case o.Operation == "unload":
		g.seq++
		delete(g.ready, o.Adapter)
		return http.StatusOK
	}
	g.seq++
	g.ready[o.Adapter] = now.Add(adapterLoadTime)
	g.crashed = g.crashed || len(g.ready) > adapterSlots
	return http.StatusAccepted
}
