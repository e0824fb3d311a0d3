package ggsengine

import (
	"encoding/json"
	"time"

	ggscore "greengageslip/core"
)

type modelWire struct {
	Model string `json:"model"`
}

type errorWire struct {
	Error struct {
		Kind    string `json:"kind"`
		Outcome string `json:"outcome"`
		Detail  string `json:"detail"`
		Seen    uint64 `json:"seen"`
	} `json:"error"`
}

type orderWire struct {
	Adapter string `json:"adapter"`
	Fence   uint64 `json:"fence"`
}

type residentWire struct {
	Adapter string `json:"adapter"`
	Running int    `json:"running"`
}

type reportWire struct {
	Endpoint    string         `json:"endpoint"`
	Incarnation string         `json:"incarnation"`
	Running     int            `json:"running"`
	Resident    []residentWire `json:"resident"`
	Loading     []string       `json:"loading"`
	At          time.Time      `json:"at"`
}

// Kinds and outcomes in the bodies of error answers.
const (
	kindAdapterNotLoaded = "adapterNotLoaded"
	kindFenced           = "fenced"
	outcomeNotRun        = "notRun"
)

// errorOf parses the body of an error answer. It returns the zero value, which proves
// nothing about the run, if the body can't be parsed.
func errorOf(body []byte) errorWire {
	var w errorWire
	if err := json.Unmarshal(body, &w); err != nil {
		return errorWire{}
	}
	return w
}

func reportOf(w reportWire) (ggscore.RunnerReport, error) {
	r := ggscore.RunnerReport{
		Endpoint:    ggscore.EndpointID(w.Endpoint),
		Incarnation: w.Incarnation,
		Running:     w.Running,
		At:          w.At,
	}
	for _, rw := range w.Resident {
		a, err := ggscore.ParseAdapterRef(rw.Adapter)
		if err != nil {
			return r, &BadReportError{Cause: err}
		}
		r.Resident = append(r.Resident, ggscore.ResidentAdapter{Ref: a, Running: rw.Running})
	}
	for _, t := range w.Loading {
		a, err := ggscore.ParseAdapterRef(t)
		if err != nil {
			return r, &BadReportError{Cause: err}
		}
		r.Loading = append(r.Loading, a)
	}
	return r, nil
}

// servedOf returns the adapter that a JSON text names as its model, or the zero
// reference if there is none.
func servedOf(text []byte) ggscore.AdapterRef {
	var w modelWire
	if err := json.Unmarshal(text, &w); err != nil {
		return ggscore.AdapterRef{}
	}
	a, err := ggscore.ParseAdapterRef(w.Model)
	if err != nil {
		return ggscore.AdapterRef{}
	}
	return a
}
