package ggspeer

import (
	"time"

	ggscore "greengageslip/core"
)

type crashReportWire struct {
	_       struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	VM      string
	Crashes []crashWire
	Uses    map[string]suspectUseWire
	// Withdrawn are crashes that were none.
	Withdrawn []crashWire
	// AliveAt is when their processes are known to have lived, in milliseconds since 1970.
	AliveAt int64
}

type suspectUseWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Sent     int
	Answered int
	Pending  int
}

type crashWire struct {
	_        struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
	Suspect  string
	Endpoint string
	// StartedAt is the Unix time in milliseconds.
	StartedAt int64
}

func crashWireOf(c ggscore.Crash) crashWire {
	return crashWire{Suspect: string(c.Suspect), Endpoint: string(c.Endpoint), StartedAt: c.StartedAt.UnixMilli()}
}

func (w *crashWire) crash() ggscore.Crash {
	return ggscore.Crash{Suspect: ggscore.SuspectID(w.Suspect), Endpoint: ggscore.EndpointID(w.Endpoint), StartedAt: time.UnixMilli(w.StartedAt)}
}

func crashReportWireOf(r ggscore.CrashReport) crashReportWire {
	w := crashReportWire{VM: string(r.VM), AliveAt: r.AliveAt.UnixMilli(), Uses: make(map[string]suspectUseWire, len(r.Uses))}
	for _, c := range r.Crashes {
		w.Crashes = append(w.Crashes, crashWireOf(c))
	}
	for _, c := range r.Withdrawn {
		w.Withdrawn = append(w.Withdrawn, crashWireOf(c))
	}
	for id, u := range r.Uses {
		w.Uses[string(id)] = suspectUseWire{Sent: u.Sent, Answered: u.Answered, Pending: u.Pending}
	}
	return w
}

func (w *crashReportWire) report() (ggscore.CrashReport, error) {
	r := ggscore.CrashReport{VM: ggscore.VMID(w.VM), AliveAt: time.UnixMilli(w.AliveAt)}
	for _, c := range w.Crashes {
		r.Crashes = append(r.Crashes, c.crash())
	}
	for _, c := range w.Withdrawn {
		r.Withdrawn = append(r.Withdrawn, c.crash())
	}
	for id, u := range w.Uses {
		if least := min(u.Sent, u.Answered, u.Pending); least < 0 {
			return ggscore.CrashReport{}, &CountError{Count: least}
		}
		if r.Uses == nil {
			r.Uses = map[ggscore.SuspectID]ggscore.SuspectUse{}
		}
		r.Uses[ggscore.SuspectID(id)] = ggscore.SuspectUse{Sent: u.Sent, Answered: u.Answered, Pending: u.Pending}
	}
	return r, nil
}
