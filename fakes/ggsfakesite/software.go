package ggsfakesite

import (
	"net/http"
	"strconv"
	"time"
)

// DefaultSoftware is the version of an endpoint's software unless SetSoftware changes it.
const DefaultSoftware = "v1"

// SetSoftware replaces the endpoint by a process of another software version, at the same address under
// another ID. It holds no model and no adapters, and counts its orders anew.
func (e *Endpoint) SetSoftware(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.software == version {
		return
	}
	e.software = version
	e.restart()
}

// RestartInPlace replaces the endpoint by a process of another software version, at the same address under
// the same ID.
func (e *Endpoint) RestartInPlace(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.software = version
	e.restart()
	e.keepID()
}

// Replace replaces the endpoint by a process of the same software version, at the same address under another ID.
func (e *Endpoint) Replace() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

// keepID lets the endpoint's new process keep the ID of the one before. The lock is held.
func (e *Endpoint) keepID() {
	e.sameID++
	e.bornAt = e.options.Now().UnixMilli()
}

// born returns the time of the process's start in its entry. The lock is held.
func (e *Endpoint) born() int64 {
	if e.bornAt > 0 {
		return e.bornAt
	}
	return int64(e.starts)
}

// RunSoftware returns the version of the software that ran a request last, empty if none did.
func (e *Endpoint) RunSoftware(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runSoftware[id]
}

// age returns how long the endpoint's process has run, since its first one for that one.
func (e *Endpoint) age() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.options.Now().Sub(e.startedAt)
}

// started returns the number of the endpoint's process.
func (e *Endpoint) started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts
}

// restart begins a new process of the endpoint. The lock is held.
func (e *Endpoint) restart() {
	e.starts++
	e.startedAt = e.options.Now()
	e.sequence = 0
	e.unloaded, e.loadedAt = e.options.Engine, time.Time{}
	clear(e.resident)
	clear(e.loading)
}

// ID returns the ID of the endpoint's process.
func (e *Endpoint) ID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.starts-e.sameID == 1 {
		return e.options.ID
	}
	return e.options.ID + "." + strconv.Itoa(e.starts-e.sameID)
}

// Software returns the version of the endpoint's software.
func (e *Endpoint) Software() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.software
}

// lastEvent returns the number of the last event that the caller of a resumed stream has, zero for a
// new stream.
func lastEvent(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return n
}
