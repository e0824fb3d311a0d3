// Package ggssettings reads and checks the settings files of the processes.
//
// # Usage
//
//	s, err := ggssettings.ReadDispatcher("dispatcher.toml")
//	// err names file, line and key: dispatcher.toml:3: listen: want …
//
// A settings file is TOML with camel-case keys. Addresses are IP addresses with
// ports, since host names are not resolved; durations are texts such as "5s".
package ggssettings

import (
	"net/netip"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsschedule"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggstoml"
)

const (
	defaultDrainTimeout = 10 * time.Minute
	defaultLeaseTTL     = 8 * time.Second
	defaultListInterval = time.Second
	minLeaseTTL         = time.Second
	defaultMaxAttempts  = 3
)

// A Node holds the settings that all processes have.
type Node struct {
	VM     ggscore.VMID
	Region ggscore.Region
	Domain ggscore.Domain
	// Listen is the address for callers (gateway) or other processes (dispatcher).
	Listen netip.AddrPort
	// StateListen is the address of the state dump, counters and health.
	StateListen netip.AddrPort
	// Platform is the address of the platform's service.
	Platform netip.AddrPort
	// Dispatchers are the addresses that are called until the platform's list has been read.
	Dispatchers  []netip.AddrPort
	LogLevel     ggslog.Level
	DrainTimeout time.Duration
	// ListInterval is the time between two reads of the list of VMs.
	ListInterval time.Duration
	// MemoryBytes is the process's memory, and MaxFiles the number of its descriptors. Zero means the limit that the process finds.
	MemoryBytes int64
	MaxFiles    int
}

// A Gateway holds a gateway's settings.
type Gateway struct {
	Node
	DefaultService ggscore.Service
	MaxInFlight    int
	MaxAttempts    int
}

// A Dispatcher holds a dispatcher's settings.
type Dispatcher struct {
	Node
	RequestWorkers int
	OrderWorkers   int
	LeaseTTL       time.Duration
	// Policy is the scheduling policy. Policies other than PolicyCost are baselines
	// for measurements.
	Policy ggsschedule.Policy
}

// ReadDispatcher reads a dispatcher's settings. Failures are *ggstoml.ReadError
// and *ggstoml.DecodeError.
func ReadDispatcher(path string) (Dispatcher, error) {
	var f dispatcherFile
	if err := ggstoml.ReadSettings(path, &f); err != nil {
		return Dispatcher{}, err
	}
	return Dispatcher{
		Node: f.node(), RequestWorkers: f.RequestWorkers, OrderWorkers: f.OrderWorkers,
		LeaseTTL: orDefault(f.LeaseTTL, defaultLeaseTTL), Policy: f.policy(),
	}, nil
}

// ReadGateway reads a gateway's settings. Failures are *ggstoml.ReadError and
// *ggstoml.DecodeError.
func ReadGateway(path string) (Gateway, error) {
	var f gatewayFile
	if err := ggstoml.ReadSettings(path, &f); err != nil {
		return Gateway{}, err
	}
	g := Gateway{
		Node: f.node(), DefaultService: ggscore.Service(f.DefaultService),
		MaxInFlight: f.MaxInFlight, MaxAttempts: f.MaxAttempts,
	}
	if g.MaxAttempts == 0 {
		g.MaxAttempts = defaultMaxAttempts
	}
	return g, nil
}

func orDefault(d ggstoml.Duration, v time.Duration) time.Duration {
	if d == 0 {
		return v
	}
	return time.Duration(d)
}
