package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// adapterLoadTime is how long an adapter takes to load.
const adapterLoadTime = 250 * time.Millisecond

// A model is a base model of the configuration. Sizes are in MB.
type model struct {
	name      string
	weightsMB int
}

// The memory and the places of a runner, and the size of an adapter.
const (
	runnerMB     = 66000
	adapterMB    = 66
	adapterSlots = 16
)

// usual is the one model of most cases.
var usual = model{modelName, 65100}

// An order is an order as it arrived at a runner.
type order struct {
	at     time.Time
	holder string
	fence  uint64
	text   string
	status int
}

// An engine holds a model and its adapters, by MODEL/NAME. The lock of its runner guards it.
type engine struct {
	model  model
	sizes  map[string]int
	ready  map[string]time.Time
	seq    uint64
	orders []order
	// coming is a base model that is being loaded, until comesAt.
	coming  model
	comesAt time.Time
	// overfull is set by an order to load more than the runner's memory or its places hold.
	overfull bool
}

// modelLoadTime is how long a base model takes to load.
const modelLoadTime = 1900 * time.Millisecond

// settle ends the load of a base model.
func (g *engine) settle(now time.Time) {
	if g.coming.name != "" && !now.Before(g.comesAt) {
		g.model, g.coming = g.coming, model{}
	}
}

// loadModel answers the order to load a base model.
func (g *engine) loadModel(now time.Time, o *orderWire) int {
	switch {
	case g.model.name == o.Model:
		return http.StatusOK
	case g.coming.name == o.Model:
		return http.StatusAccepted
	case g.coming.name != "" || o.Expected != nil && *o.Expected != g.seq:
		return http.StatusConflict
	case g.model.name != "":
		// None of the runners holds two of the models.
		g.seq++
		g.overfull = g.model.weightsMB+g.sizes[o.Model] > runnerMB
		return http.StatusAccepted
	}
	g.seq++
	g.coming, g.comesAt = model{o.Model, g.sizes[o.Model]}, now.Add(modelLoadTime)
	return http.StatusAccepted
}

func (g *engine) adapters(now time.Time) (resident, coming []string) {
	resident, coming = []string{}, []string{}
	for k, at := range g.ready {
		if now.Before(at) {
			coming = append(coming, k+"@1")
			continue
		}
		_, a, _ := strings.Cut(k, "/")
		resident = append(resident, a+"@1")
	}
	return resident, coming
}

// holds reports whether the model or adapter of a Model header is resident.
func (g *engine) holds(now time.Time, header string) bool {
	if !strings.Contains(header, "/") {
		return header == "" || header == g.model.name
	}
	at, known := g.ready[header]
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
	n.engine.settle(now)
	status := n.engine.carryOut(now, &o)
	text := o.Operation + " " + o.Model + "/" + o.Adapter
	if o.Expected != nil {
		text += " expected " + strconv.FormatUint(*o.Expected, 10)
	}
	n.engine.orders = append(n.engine.orders, order{now, o.Holder, o.FencingToken, text, status})
	n.log.line("order at %s: holder %s, fence %d, %s: %d", n.id, o.Holder, o.FencingToken, text, status)
	if n.engine.overfull && !n.crashed {
		n.log.line("%s crashes: it is ordered to load more than it holds", n.id)
		n.crash(time.Second, "")
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

func (g *engine) carryOut(now time.Time, o *orderWire) int {
	k := o.Model + "/" + o.Adapter
	at, known := g.ready[k]
	switch {
	case o.Adapter == "" && o.Operation == "load":
		return g.loadModel(now, o)
	case o.Adapter == "" || o.Model != g.model.name:
		return http.StatusBadRequest
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
		delete(g.ready, k)
		return http.StatusOK
	}
	g.seq++
	g.ready[k] = now.Add(adapterLoadTime)
	if len(g.ready) > adapterSlots || g.model.weightsMB+len(g.ready)*adapterMB > runnerMB {
		g.overfull = true
	}
	return http.StatusAccepted
}
