package ggsfakesite

import (
	"net/http"
	"strconv"
)

// DefaultSoftware is the version of an endpoint's software unless SetSoftware changes it.
const DefaultSoftware = "v1"

// SetSoftware restarts the endpoint with another version of its software. It then holds no adapters
// and counts its orders anew.
func (e *Endpoint) SetSoftware(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.software == version {
		return
	}
	e.software = version
	e.restart()
}

// restart begins a new process of the endpoint. The lock is held.
func (e *Endpoint) restart() {
	e.starts++
	e.sequence = 0
	clear(e.resident)
	clear(e.loading)
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
