package ggsfakesite

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// modelVersion is the version of models' weights.
const modelVersion = "1"

// An Order is a load or unload order that the endpoint received.
type Order struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter"`
	Version   uint64  `json:"version"`
	Expected  *uint64 `json:"expected"`
	Holder    string  `json:"holder"`
	Fence     uint64  `json:"fencingToken"`
	// At is the time at which the endpoint accepted the order, and Process numbers the endpoint's
	// processes.
	At      time.Time `json:"-"`
	Process int       `json:"-"`
}

// Orders returns the accepted orders.
func (e *Endpoint) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLoads()
	o.At, o.Process = e.options.Now(), e.starts
	_, isResident := e.resident[o.Adapter]
	_, loading := e.loading[o.Adapter]
	wanted := max(o.Version, e.versions[o.Adapter], 1)
	switch {
	case o.Adapter == "" && (e.unloaded || o.Operation == "unload" || o.Model != e.model):
		e.orderModel(w, o)
	case o.Model != e.model:
		w.WriteHeader(http.StatusBadRequest)
	case loading && o.Operation == "load":
		w.WriteHeader(http.StatusAccepted)
	case o.Expected != nil && *o.Expected != e.sequence:
		w.WriteHeader(http.StatusConflict)
	case o.Operation == "load" && (o.Adapter == "" || isResident && e.resident[o.Adapter] == wanted),
		o.Operation == "unload" && !isResident:
		w.WriteHeader(http.StatusOK)
	case o.Operation == "unload":
		e.sequence++
		e.orders = append(e.orders, o)
		delete(e.resident, o.Adapter)
		w.WriteHeader(http.StatusOK)
	case e.holdLoads > 0:
		e.holdLoads--
		e.heldLoads = append(e.heldLoads, o)
		panic(http.ErrAbortHandler)
	default:
		e.load(o, wanted)
		w.WriteHeader(http.StatusAccepted)
	}
	e.carryOutHeld()
}

// load begins to load an adapter. The lock is held.
func (e *Endpoint) load(o Order, version uint64) {
	e.sequence++
	e.orders = append(e.orders, o)
	delete(e.resident, o.Adapter)
	e.versions[o.Adapter] = version
	e.loading[o.Adapter] = e.options.Now().Add(e.options.LoadTime)
	e.overfull = e.overfull || len(e.resident)+len(e.loading) > e.options.AdapterSlots
}

// HoldLoads leaves the next n loads of adapters unanswered. A later process of the endpoint carries each out once
// it has accepted as many orders as the load expects.
func (e *Endpoint) HoldLoads(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holdLoads = n
}

// HeldLoads returns the number of loads that were left unanswered and aren't carried out.
func (e *Endpoint) HeldLoads() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.heldLoads)
}

// PassedHeldLoads reports whether the endpoint's process has accepted more orders than each held load expects.
func (e *Endpoint) PassedHeldLoads() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !slices.ContainsFunc(e.heldLoads, func(o Order) bool { return *o.Expected >= e.sequence })
}

// carryOutHeld carries out the held loads whose number is reached. The lock is held.
func (e *Endpoint) carryOutHeld() {
	for i := 0; i < len(e.heldLoads); i++ {
		if o := e.heldLoads[i]; o.Process < e.starts && *o.Expected == e.sequence {
			e.heldLoads = slices.Delete(e.heldLoads, i, i+1)
			e.load(o, max(o.Version, e.versions[o.Adapter], 1))
			i = -1
		}
	}
}

// Overfull reports whether the endpoint was ordered to load more adapters than it has slots for.
func (e *Endpoint) Overfull() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overfull
}

// Resident returns the number of adapters that the endpoint holds.
func (e *Endpoint) Resident() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLoads()
	return len(e.resident)
}

// finishLoads makes adapters resident whose load time has passed. The lock is held.
func (e *Endpoint) finishLoads() {
	if e.unloaded && !e.loadedAt.IsZero() && !e.options.Now().Before(e.loadedAt) {
		e.unloaded = false
	}
	for a, t := range e.loading {
		if !e.options.Now().Before(t) {
			delete(e.loading, a)
			e.resident[a] = e.versions[a]
		}
	}
}

// models returns the resident models and adapters as the JSON of the endpoint's entry. The
// lock is held.
func (e *Endpoint) models() string {
	if !e.options.Engine || e.unloaded {
		return "[]"
	}
	l := []string{}
	for a, v := range e.resident {
		l = append(l, fmt.Sprintf("%q", a+"@"+strconv.FormatUint(v, 10)))
	}
	return fmt.Sprintf(`[{"name":%q,"version":%s,"adapters":[%s]}]`, e.model, modelVersion, strings.Join(l, ","))
}

func (e *Endpoint) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLoads()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"stage":"both","models":%s,"busy":false,"seq":%d,"waiting":0,"running":0,"born":%d}`, e.models(), e.sequence, e.born())
}

// missing reports whether the request needs an adapter or a version that isn't resident.
// The lock is held.
func (e *Endpoint) missing(r *http.Request) bool {
	m, a, _ := strings.Cut(r.Header.Get("Model"), "/")
	if !e.options.Engine {
		return false
	}
	e.finishLoads()
	if m != "" && m != e.model {
		return true
	}
	want := r.Header.Get("Expect-Version")
	if e.unloaded || a == "" {
		return e.unloaded || want != "" && want != modelVersion
	}
	v, ok := e.resident[a]
	return !ok || want != "" && want != strconv.FormatUint(v, 10)
}

// orderModel carries out an order to load or unload a model. The runner has memory for one. The lock is held.
func (e *Endpoint) orderModel(w http.ResponseWriter, o Order) {
	loads := o.Operation == "load"
	switch {
	case loads && !e.loadedAt.IsZero() && e.unloaded && o.Model == e.model:
		w.WriteHeader(http.StatusAccepted)
	case o.Expected != nil && *o.Expected != e.sequence:
		w.WriteHeader(http.StatusConflict)
	case !loads && (e.unloaded || o.Model != e.model):
		w.WriteHeader(http.StatusOK)
	default:
		e.sequence++
		e.orders = append(e.orders, o)
		if loads {
			e.overfull = e.overfull || !e.unloaded
			e.model, e.loadedAt = o.Model, e.options.Now().Add(modelLoadTime)
		} else {
			e.loadedAt = time.Time{}
			clear(e.resident)
		}
		e.unloaded = true
		w.WriteHeader(http.StatusAccepted)
	}
}

// SetModel sets the model that a runner holds.
func (e *Endpoint) SetModel(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model = name
}

// Model returns the model that a runner holds or loads, empty for none.
func (e *Endpoint) Model() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unloaded && e.loadedAt.IsZero() {
		return ""
	}
	return e.model
}
