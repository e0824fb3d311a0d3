package main

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsedge"
)

const fleetLong = `Shows a deployment on the users' platform, as its VMs see it: for
each VM whose state address is known (--entry or the settings) the version of the
configuration in force, the age of its list of endpoints and the peers that it
hears; then each endpoint, which VM gives it orders and how many adapters it holds.
It exits with 1 where a VM can't be reached, or VMs differ in the configuration's
version or in who gives an endpoint orders.`

// peerSilence is the silence after which a peer counts as not heard: six words.
const peerSilence = time.Second

type fleetCommand struct{}

func (c *fleetCommand) run(ctx context.Context, a *app) error {
	if len(a.settings.Entries) == 0 {
		return &usageError{detail: "no VM to ask: give --entry or --settings"}
	}
	states := a.states(ctx)
	if err := printVMs(a, states); err != nil {
		return err
	}
	l := endpointsOf(states)
	if err := printEndpoints(a, l); err != nil {
		return err
	}
	if !agreed(states, l) {
		return &shownError{code: exitFailure}
	}
	return nil
}

// A knownEndpoint is an endpoint as several VMs know it.
type knownEndpoint struct {
	ggsedge.EndpointState
	// seen is the number of VMs that list it, orderers the VMs that are said to
	// give it orders.
	seen     int
	orderers []ggscore.VMID
}

// endpointsOf puts together what VMs know of endpoints, in the order of services
// and names.
func endpointsOf(states []processState) []*knownEndpoint {
	byID := map[ggscore.EndpointID]*knownEndpoint{}
	for _, s := range states {
		if s.err != nil || s.edge == nil {
			continue
		}
		for _, n := range s.edge.Endpoints {
			k := byID[n.ID]
			if k == nil {
				k = &knownEndpoint{EndpointState: n}
				byID[n.ID] = k
			}
			k.seen++
			k.Leaving = k.Leaving || n.Leaving
			if len(n.Held) > 0 {
				k.Held = n.Held
			}
			if n.Owner != "" && !slices.Contains(k.orderers, n.Owner) {
				k.orderers = append(k.orderers, n.Owner)
			}
		}
	}
	l := make([]*knownEndpoint, 0, len(byID))
	for _, k := range byID {
		l = append(l, k)
	}
	slices.SortFunc(l, func(a, b *knownEndpoint) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return l
}

func printVMs(a *app, states []processState) error {
	w := tabwriter.NewWriter(a.streams.out, 0, 0, 2, ' ', 0)
	r := rows{w: w}
	r.add("VM", "DOMAIN", "CONFIG", "ROUTES", "LIST AGE", "ENDPOINTS", "PEERS HEARD", "STORE", "EPOCH")
	for _, s := range states {
		switch {
		case s.err != nil:
			r.add(s.addr.String(), unknownText, unknownText, unknownText, unknownText, unknownText, unknownText, "unreachable", unknownText)
		case s.edge == nil:
			r.add(string(s.vm), unknownText, unknownText, unknownText, unknownText, unknownText, unknownText, "is a "+s.program, unknownText)
		default:
			e := s.edge
			store := "there"
			if e.StoreUnavailable {
				store = "away"
			}
			r.add(string(s.vm), string(e.Domain), strconv.FormatUint(e.Config, 10), strconv.Itoa(e.Routes),
				e.ListAge.Round(time.Millisecond).String(), strconv.Itoa(len(e.Endpoints)), strconv.Itoa(heard(e)), store, strconv.FormatUint(uint64(e.Epoch), 10))
		}
	}
	return w.Flush()
}

// heard returns the number of peers that a VM hears.
func heard(e *ggsedge.State) int {
	n := 0
	for _, p := range e.Peers {
		if p.HeartbeatAge < peerSilence {
			n++
		}
	}
	return n
}

func printEndpoints(a *app, l []*knownEndpoint) error {
	w := tabwriter.NewWriter(a.streams.out, 0, 0, 2, ' ', 0)
	r := rows{w: w}
	r.add("ENDPOINT", "SERVICE", "DOMAIN", "STATE", "LISTED BY", "ORDERS FROM", "ADAPTERS")
	for _, k := range l {
		state := "ready"
		if k.Leaving {
			state = "leaving"
		}
		orderer := unknownText
		if len(k.orderers) > 0 {
			orderer = string(k.orderers[0])
		}
		if len(k.orderers) > 1 {
			orderer = "disputed"
		}
		r.add(string(k.ID), string(k.Service), string(k.Domain), state, strconv.Itoa(k.seen), orderer, strconv.Itoa(len(k.Held)))
	}
	return w.Flush()
}

// agreed reports whether all VMs answered and know the same.
func agreed(states []processState, l []*knownEndpoint) bool {
	var version uint64
	for _, s := range states {
		if s.err != nil || s.edge == nil {
			return false
		}
		if version == 0 {
			version = s.edge.Config
		}
		if s.edge.Config == 0 || s.edge.Config != version {
			return false
		}
	}
	return !slices.ContainsFunc(l, func(k *knownEndpoint) bool { return len(k.orderers) > 1 })
}
