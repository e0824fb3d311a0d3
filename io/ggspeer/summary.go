package ggspeer

import ggscore "greengageslip/core"

type summaryWire struct {
	_          struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	From       string
	Domain     string
	Fleet      bool
	Settling   bool
	Sequence   uint64
	Started    int64
	Progress   progressWire
	Included   []includedWire
	Live       []uint32
	LiveWhole  bool
	Models     modelNames
	InFlight   []inFlightWire
	Holdings   []holdingWire
	Uses       []useWire
	Demand     []demandWire
	Samples    []sampleWire
	Tallies    []tallyWire
	Decider    string
	Modes      []modeWire
	Limits     []limitWire
	ShedLimits []shedLimitWire
	Departures []departureWire
}

type includedWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	VM       uint32
	Sequence uint64
}

func summaryWireOf(d ggscore.Summary) *summaryWire {
	w := &summaryWire{
		From: string(d.From), Domain: string(d.Domain), Fleet: d.Fleet, Settling: d.Settling, Sequence: d.Sequence, Started: d.Started,
		Progress: progressWireOf(d.Progress), LiveWhole: d.LiveWhole, InFlight: inFlightWires(d.InFlight),
		Samples: sampleWires(d.Samples), Tallies: tallyWires(d.Tallies), Decider: string(d.Decider), Modes: modeWires(d.Modes),
		Limits: limitWires(d.Limits), ShedLimits: shedLimitWires(d.ShedLimits), Departures: departureWires(d.Departures),
	}
	for _, n := range d.Included {
		w.Included = append(w.Included, includedWire{VM: uint32(n.VM), Sequence: n.Sequence})
	}
	for _, vm := range d.Live {
		w.Live = append(w.Live, uint32(vm))
	}
	w.Holdings = w.Models.holdingWires(d.Holdings)
	w.Uses = w.Models.useWires(d.Uses)
	for _, n := range d.Demand {
		w.Demand = append(w.Demand, demandWire{Model: w.Models.index(n.Target.Model), Adapter: n.Target.Adapter, Count: n.Count})
	}
	return w
}

func (w *summaryWire) summary() (ggscore.Summary, error) {
	d := ggscore.Summary{
		From: ggscore.VMID(w.From), Domain: ggscore.Domain(w.Domain), Fleet: w.Fleet, Settling: w.Settling, Sequence: w.Sequence, Started: w.Started,
		Progress: w.Progress.progress(), LiveWhole: w.LiveWhole,
		Samples: samplesOf(w.Samples), Tallies: talliesOf(w.Tallies), Decider: ggscore.VMID(w.Decider), Modes: modesOf(w.Modes),
		Departures: departuresOf(w.Departures),
	}
	for _, n := range w.Included {
		d.Included = append(d.Included, ggscore.IncludedHeartbeat{VM: ggscore.VMHash(n.VM), Sequence: n.Sequence})
	}
	for _, vm := range w.Live {
		d.Live = append(d.Live, ggscore.VMHash(vm))
	}
	var err error
	if d.InFlight, err = inFlightOf(w.InFlight); err != nil {
		return ggscore.Summary{}, err
	}
	if d.Holdings, err = w.Models.holdings(w.Holdings); err != nil {
		return ggscore.Summary{}, err
	}
	if d.Uses, err = w.Models.uses(w.Uses); err != nil {
		return ggscore.Summary{}, err
	}
	if d.Limits, err = limitsOf(w.Limits); err != nil {
		return ggscore.Summary{}, err
	}
	if d.ShedLimits, err = shedLimitsOf(w.ShedLimits); err != nil {
		return ggscore.Summary{}, err
	}
	for _, n := range w.Demand {
		if n.Count < 0 {
			return ggscore.Summary{}, &CountError{Count: n.Count}
		}
		t, err := w.Models.target(n.Model, n.Adapter)
		if err != nil {
			return ggscore.Summary{}, err
		}
		d.Demand = append(d.Demand, ggscore.Demand{Target: t, Count: n.Count})
	}
	return d, nil
}
