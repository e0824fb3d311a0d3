package ggspeer

import ggscore "greengageslip/core"

type heartbeatWire struct {
	_             struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	VM            string
	Sequence      uint64
	Started       int64
	Relay         int
	CountingRelay string
	Progress      progressWire
	Models        modelNames
	InFlight      []inFlightWire
	Holdings      []holdingWire
	Uses          []useWire
	Samples       []sampleWire
	Tallies       []tallyWire
	Modes         []modeWire
	Limits        []limitWire
	ShedLimits    []shedLimitWire
	Departures    []departureWire
}

func heartbeatWireOf(h ggscore.Heartbeat) *heartbeatWire {
	w := &heartbeatWire{
		VM: string(h.VM), Sequence: h.Sequence, Started: h.Started, Relay: int(h.Relay), CountingRelay: string(h.CountingRelay),
		Progress: progressWireOf(h.Progress), InFlight: inFlightWires(h.InFlight),
		Samples: sampleWires(h.Samples), Tallies: tallyWires(h.Tallies), Modes: modeWires(h.Modes),
		Limits: limitWires(h.Limits), ShedLimits: shedLimitWires(h.ShedLimits), Departures: departureWires(h.Departures),
	}
	w.Holdings = w.Models.holdingWires(h.Holdings)
	w.Uses = w.Models.useWires(h.Uses)
	return w
}

func (w *heartbeatWire) heartbeat() (ggscore.Heartbeat, error) {
	h := ggscore.Heartbeat{
		VM: ggscore.VMID(w.VM), Sequence: w.Sequence, Started: w.Started, Relay: ggscore.Relay(w.Relay), CountingRelay: ggscore.VMID(w.CountingRelay),
		Progress: w.Progress.progress(),
		Samples:  samplesOf(w.Samples), Tallies: talliesOf(w.Tallies), Modes: modesOf(w.Modes),
		Departures: departuresOf(w.Departures),
	}
	var err error
	if h.InFlight, err = inFlightOf(w.InFlight); err != nil {
		return ggscore.Heartbeat{}, err
	}
	if h.Holdings, err = w.Models.holdings(w.Holdings); err != nil {
		return ggscore.Heartbeat{}, err
	}
	if h.Uses, err = w.Models.uses(w.Uses); err != nil {
		return ggscore.Heartbeat{}, err
	}
	if h.Limits, err = limitsOf(w.Limits); err != nil {
		return ggscore.Heartbeat{}, err
	}
	if h.ShedLimits, err = shedLimitsOf(w.ShedLimits); err != nil {
		return ggscore.Heartbeat{}, err
	}
	return h, nil
}
