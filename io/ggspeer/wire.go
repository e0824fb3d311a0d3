package ggspeer

import (
	"math"
	"time"

	ggscore "greengageslip/core"
)

type inFlightWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Endpoint string
	Count    int
	Ended    int
	Failed   int
}

type holdingWire struct {
	_            struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Endpoint     string
	Held         []heldWire
	Whole        bool
	Waiting      int
	FreeCapacity int
}

type heldWire struct {
	_       struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Model   int
	Adapter string
	Version uint64
}

type useWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Endpoint string
	Model    int
	Adapter  string
	Count    int
	Active   bool
}

type demandWire struct {
	_       struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Model   int
	Adapter string
	Count   int
}

type sampleWire struct {
	_       struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Service string
	Tokens  int
	// Took is in microseconds.
	Took int64
}

type tallyWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Service  string
	Streams  int
	Degraded int
}

type modeWire struct {
	_              struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Service        string
	Waits          bool
	DegradedBefore float64
}

type limitWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Endpoint string
	// PerSecond is nil if the limit was lifted.
	PerSecond *float64
	// Age is in milliseconds.
	Age int64
}

type shedLimitWire struct {
	_       struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Service string
	// Refusals is nil if the limit was lifted.
	Refusals *int
	// Age is in milliseconds.
	Age int64
}

type departureWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Endpoint string
	// StartedAt is the Unix time in milliseconds.
	StartedAt int64
}

type progressWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Epoch    uint64
	Listed   positionWire
	Operated positionWire
	// ListAge and OperatorsAge are in milliseconds.
	ListAge      int64
	OperatorsAge int64
	Config       uint64
	Versions     uint64
	ListDigest   uint64
}

type positionWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Epoch    uint64
	Revision uint64
}

func positionWireOf(p ggscore.StorePosition) positionWire {
	return positionWire{Epoch: uint64(p.Epoch), Revision: uint64(p.Revision)}
}

func (w *positionWire) position() ggscore.StorePosition {
	return ggscore.StorePosition{Epoch: ggscore.StoreEpoch(w.Epoch), Revision: ggscore.StoreRevision(w.Revision)}
}

func progressWireOf(n ggscore.StoreProgress) progressWire {
	return progressWire{
		Epoch:  uint64(n.Epoch),
		Listed: positionWireOf(n.ListedAt), Operated: positionWireOf(n.OperatorsAt),
		ListAge: n.ListAge.Milliseconds(), OperatorsAge: n.OperatorsAge.Milliseconds(),
		Config: n.Config, Versions: n.Versions, ListDigest: uint64(n.ListDigest),
	}
}

func (w *progressWire) progress() ggscore.StoreProgress {
	return ggscore.StoreProgress{
		Epoch:    ggscore.StoreEpoch(w.Epoch),
		ListedAt: w.Listed.position(), OperatorsAt: w.Operated.position(),
		ListAge: time.Duration(w.ListAge) * time.Millisecond, OperatorsAge: time.Duration(w.OperatorsAge) * time.Millisecond,
		Config: w.Config, Versions: w.Versions, ListDigest: ggscore.ListDigest(w.ListDigest),
	}
}

// modelNames are the base models of a datagram. The rest of the datagram refers to them by index.
type modelNames []string

func (m *modelNames) index(name ggscore.BaseModel) int {
	for i, n := range *m {
		if n == string(name) {
			return i
		}
	}
	*m = append(*m, string(name))
	return len(*m) - 1
}

func (m modelNames) target(index int, adapter string) (ggscore.ModelAdapter, error) {
	if index < 0 || index >= len(m) {
		return ggscore.ModelAdapter{}, &IndexError{Index: index, Count: len(m)}
	}
	return ggscore.ModelAdapter{Model: ggscore.BaseModel(m[index]), Adapter: adapter}, nil
}

func inFlightWires(fs []ggscore.InFlight) []inFlightWire {
	ws := make([]inFlightWire, 0, len(fs))
	for _, f := range fs {
		ws = append(ws, inFlightWire{Endpoint: string(f.Endpoint), Count: f.Count, Ended: f.Ended, Failed: f.Failed})
	}
	return ws
}

func inFlightOf(ws []inFlightWire) ([]ggscore.InFlight, error) {
	var fs []ggscore.InFlight
	for _, w := range ws {
		if least := min(w.Count, w.Ended, w.Failed); least < 0 {
			return nil, &CountError{Count: least}
		}
		fs = append(fs, ggscore.InFlight{Endpoint: ggscore.EndpointID(w.Endpoint), Count: w.Count, Ended: w.Ended, Failed: w.Failed})
	}
	return fs, nil
}

func (m *modelNames) holdingWires(hs []ggscore.Holding) []holdingWire {
	ws := make([]holdingWire, 0, len(hs))
	for _, h := range hs {
		w := holdingWire{Endpoint: string(h.Endpoint), Whole: h.Whole, Waiting: h.Waiting, FreeCapacity: h.FreeCapacity}
		for _, v := range h.Held {
			w.Held = append(w.Held, heldWire{Model: m.index(v.Target.Model), Adapter: v.Target.Adapter, Version: v.Version})
		}
		ws = append(ws, w)
	}
	return ws
}

func (m modelNames) holdings(ws []holdingWire) ([]ggscore.Holding, error) {
	var hs []ggscore.Holding
	for _, w := range ws {
		h := ggscore.Holding{Endpoint: ggscore.EndpointID(w.Endpoint), Whole: w.Whole, Waiting: w.Waiting, FreeCapacity: w.FreeCapacity}
		for _, v := range w.Held {
			t, err := m.target(v.Model, v.Adapter)
			if err != nil {
				return nil, err
			}
			h.Held = append(h.Held, ggscore.AdapterVersion{Target: t, Version: v.Version})
		}
		hs = append(hs, h)
	}
	return hs, nil
}

func (m *modelNames) useWires(us []ggscore.Use) []useWire {
	ws := make([]useWire, 0, len(us))
	for _, u := range us {
		ws = append(ws, useWire{
			Endpoint: string(u.Endpoint), Model: m.index(u.Target.Model), Adapter: u.Target.Adapter, Count: u.Count, Active: u.Active,
		})
	}
	return ws
}

func (m modelNames) uses(ws []useWire) ([]ggscore.Use, error) {
	var us []ggscore.Use
	for _, w := range ws {
		if w.Count < 0 {
			return nil, &CountError{Count: w.Count}
		}
		t, err := m.target(w.Model, w.Adapter)
		if err != nil {
			return nil, err
		}
		us = append(us, ggscore.Use{Endpoint: ggscore.EndpointID(w.Endpoint), Target: t, Count: w.Count, Active: w.Active})
	}
	return us, nil
}

func sampleWires(xs []ggscore.TurnSample) []sampleWire {
	ws := make([]sampleWire, 0, len(xs))
	for _, x := range xs {
		ws = append(ws, sampleWire{Service: string(x.Service), Tokens: x.Tokens, Took: x.Took.Microseconds()})
	}
	return ws
}

func samplesOf(ws []sampleWire) []ggscore.TurnSample {
	var xs []ggscore.TurnSample
	for _, w := range ws {
		xs = append(xs, ggscore.TurnSample{
			Service: ggscore.Service(w.Service), Tokens: w.Tokens, Took: time.Duration(w.Took) * time.Microsecond,
		})
	}
	return xs
}

func tallyWires(xs []ggscore.TurnTally) []tallyWire {
	ws := make([]tallyWire, 0, len(xs))
	for _, x := range xs {
		ws = append(ws, tallyWire{Service: string(x.Service), Streams: x.Streams, Degraded: x.Degraded})
	}
	return ws
}

func talliesOf(ws []tallyWire) []ggscore.TurnTally {
	var xs []ggscore.TurnTally
	for _, w := range ws {
		xs = append(xs, ggscore.TurnTally{Service: ggscore.Service(w.Service), Streams: w.Streams, Degraded: w.Degraded})
	}
	return xs
}

func modeWires(xs []ggscore.TurnMode) []modeWire {
	ws := make([]modeWire, 0, len(xs))
	for _, x := range xs {
		ws = append(ws, modeWire{Service: string(x.Service), Waits: x.Enforced, DegradedBefore: x.DegradedBefore})
	}
	return ws
}

func modesOf(ws []modeWire) []ggscore.TurnMode {
	var xs []ggscore.TurnMode
	for _, w := range ws {
		xs = append(xs, ggscore.TurnMode{Service: ggscore.Service(w.Service), Enforced: w.Waits, DegradedBefore: w.DegradedBefore})
	}
	return xs
}

func limitWires(ls []ggscore.EndpointLimit) []limitWire {
	ws := make([]limitWire, 0, len(ls))
	for _, l := range ls {
		w := limitWire{Endpoint: string(l.Endpoint), Age: l.Age.Milliseconds()}
		if l.Limit != nil {
			w.PerSecond = &l.Limit.RequestsPerSecond
		}
		ws = append(ws, w)
	}
	return ws
}

func limitsOf(ws []limitWire) ([]ggscore.EndpointLimit, error) {
	var ls []ggscore.EndpointLimit
	for _, w := range ws {
		l := ggscore.EndpointLimit{Endpoint: ggscore.EndpointID(w.Endpoint), Age: time.Duration(w.Age) * time.Millisecond}
		if w.PerSecond != nil {
			if r := *w.PerSecond; r < 0 || math.IsInf(r, 0) || math.IsNaN(r) {
				return nil, &LimitError{PerSecond: r}
			}
			l.Limit = &ggscore.RateLimit{RequestsPerSecond: *w.PerSecond}
		}
		if w.Age < 0 || w.Age > maxAge.Milliseconds() {
			return nil, &AgeError{Milliseconds: w.Age}
		}
		ls = append(ls, l)
	}
	return ls, nil
}

func shedLimitWires(ls []ggscore.ShedLimit) []shedLimitWire {
	ws := make([]shedLimitWire, 0, len(ls))
	for _, l := range ls {
		ws = append(ws, shedLimitWire{Service: string(l.Service), Refusals: l.RefusalsPerSecond, Age: l.Age.Milliseconds()})
	}
	return ws
}

func shedLimitsOf(ws []shedLimitWire) ([]ggscore.ShedLimit, error) {
	var ls []ggscore.ShedLimit
	for _, w := range ws {
		switch {
		case w.Refusals != nil && *w.Refusals < 0:
			return nil, &CountError{Count: *w.Refusals}
		case w.Age < 0 || w.Age > maxAge.Milliseconds():
			return nil, &AgeError{Milliseconds: w.Age}
		}
		ls = append(ls, ggscore.ShedLimit{
			Service: ggscore.Service(w.Service), RefusalsPerSecond: w.Refusals, Age: time.Duration(w.Age) * time.Millisecond,
		})
	}
	return ls, nil
}

// maxAge bounds the age of a limit in a datagram.
const maxAge = time.Hour

func departureWires(ds []ggscore.Departure) []departureWire {
	ws := make([]departureWire, 0, len(ds))
	for _, d := range ds {
		ws = append(ws, departureWire{Endpoint: string(d.Endpoint), StartedAt: d.StartedAt.UnixMilli()})
	}
	return ws
}

func departuresOf(ws []departureWire) []ggscore.Departure {
	var ds []ggscore.Departure
	for _, w := range ws {
		ds = append(ds, ggscore.Departure{Endpoint: ggscore.EndpointID(w.Endpoint), StartedAt: time.UnixMilli(w.StartedAt)})
	}
	return ds
}
