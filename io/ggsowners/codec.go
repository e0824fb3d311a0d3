package ggsowners

import (
	"encoding/json"
	"slices"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsowner"
)

type recordWire struct {
	VM          string              `json:"vm"`
	Incarnation string              `json:"incarnation"`
	Lease       uint64              `json:"lease"`
	Fence       uint64              `json:"fence"`
	Released    bool                `json:"released,omitempty"`
	Protected   map[string][]string `json:"protected,omitempty"`
	Pins        []pinWire           `json:"pins,omitempty"`
}

type pinWire struct {
	VM          string              `json:"vm"`
	Incarnation string              `json:"incarnation"`
	Protected   map[string][]string `json:"protected"`
}

func encodeRecord(r ggsowner.Record) ([]byte, error) {
	w := recordWire{
		VM:          string(r.Owner.VM),
		Incarnation: r.Owner.Incarnation,
		Lease:       uint64(r.Lease),
		Fence:       uint64(r.Fence),
		Released:    r.Released,
		Protected:   wireSet(r.Protected),
	}
	for _, p := range r.Pins {
		w.Pins = append(w.Pins, pinWire{
			VM: string(p.Holder.VM), Incarnation: p.Holder.Incarnation, Protected: wireSet(p.Protected),
		})
	}
	return json.Marshal(w)
}

// decodeRecord decodes a group's record. A missing entry is an empty record. A record that
// can't be decoded is a *BadRecordError: a dispatcher that treated it as empty would take the
// group over at once, without its pins.
func decodeRecord(e ggscore.Entry) (ggsowner.Record, error) {
	if e.Revision == 0 {
		return ggsowner.Record{}, nil
	}
	var w recordWire
	if err := json.Unmarshal(e.Value, &w); err != nil {
		return ggsowner.Record{}, &BadRecordError{Key: e.Key, Cause: err}
	}
	r := ggsowner.Record{
		Owner:    ggsowner.Holder{VM: ggscore.VMID(w.VM), Incarnation: w.Incarnation},
		Lease:    ggscore.LeaseID(w.Lease),
		Fence:    ggscore.FencingToken(w.Fence),
		Released: w.Released,
	}
	var err error
	if r.Protected, err = domainSet(w.Protected); err != nil {
		return ggsowner.Record{}, &BadRecordError{Key: e.Key, Cause: err}
	}
	for _, p := range w.Pins {
		s, err := domainSet(p.Protected)
		if err != nil {
			return ggsowner.Record{}, &BadRecordError{Key: e.Key, Cause: err}
		}
		h := ggsowner.Holder{VM: ggscore.VMID(p.VM), Incarnation: p.Incarnation}
		r.Pins = append(r.Pins, ggsowner.Pin{Holder: h, Protected: s})
	}
	return r, nil
}

func wireSet(s ggsowner.AdapterSet) map[string][]string {
	w := make(map[string][]string, len(s))
	for id, refs := range s {
		for _, a := range refs {
			w[string(id)] = append(w[string(id)], a.String())
		}
		slices.Sort(w[string(id)])
	}
	return w
}

func domainSet(w map[string][]string) (ggsowner.AdapterSet, error) {
	s := make(ggsowner.AdapterSet, len(w))
	for id, texts := range w {
		for _, t := range texts {
			a, err := ggscore.ParseAdapterRef(t)
			if err != nil {
				return nil, err
			}
			s[ggscore.EndpointID(id)] = append(s[ggscore.EndpointID(id)], a)
		}
	}
	return s, nil
}
