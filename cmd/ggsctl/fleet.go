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

const fleetLong = `Shows a deployment on the users' platform, as its VMs see it. For
each VM whose state address is known (--entry or the settings) it shows the version
of the configuration in force, the age of the list of endpoints and the number of
reachable peers. For each endpoint it shows the endpoint's owner, the VM that may
send it placement orders, and the number of adapters that it holds. It exits with 1
if a VM can't be reached, or if VMs differ in the configuration's version or in the
owner of an endpoint.`

// peerTimeout is the age of the last heartbeat from which a peer counts as
// unreachable: six missed heartbeats.
const peerTimeout = time.Second

type fleetCommand struct{}

func (c *fleetCommand) run(ctx context.Context, a *app) error {
	if len(a.settings.Entries) == 0 {
		return &usageError{detail: "no VM is known: give --entry or --settings"}
	}
	states := a.states(ctx)
	if err := printVMs(a, states); err != nil {
		return err
	}
	l := endpointsOf(states)
	if err := printEndpoints(a, l); err != nil {
		return err
	}
	if !consistent(states, l) {
		return &shownError{code: exitFailure}
	}
	return nil
}

// A knownEndpoint is an endpoint as several VMs report it.
type knownEndpoint struct {
	ggsedge.EndpointState
	// listedBy is the number of VMs that list the endpoint. owners are the endpoint's
	// owners as the VMs report them: more than one if the VMs disagree.
	listedBy int
	owners   []ggscore.VMID
}

// endpointsOf merges the endpoints of all VMs' states, sorted by service and id.
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
			k.listedBy++
			k.Leaving = k.Leaving || n.Leaving
			if len(n.Held) > 0 {
				k.Held = n.Held
			}
			if n.Owner != "" && !slices.Contains(k.owners, n.Owner) {
				k.owners = append(k.owners, n.Owner)
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
				e.ListAge.Round(time.Millisecond).String(), strconv.Itoa(len(e.Endpoints)), strconv.Itoa(reachablePeers(e)), store, strconv.FormatUint(uint64(e.Epoch), 10))
		}
	}
	return w.Flush()
}

// reachablePeers returns the number of peers whose heartbeats reach a VM.
func reachablePeers(e *ggsedge.State) int {
	n := 0
	for _, p := range e.Peers {
		if p.HeartbeatAge < peerTimeout {
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
		owner := unknownText
		if len(k.owners) > 0 {
			owner = string(k.owners[0])
		}
		if len(k.owners) > 1 {
			owner = "disputed"
		}
		r.add(string(k.ID), string(k.Service), string(k.Domain), state, strconv.Itoa(k.listedBy), owner, strconv.Itoa(len(k.Held)))
	}
	return w.Flush()
}

// consistent reports whether all VMs answered, have the same version of the
// configuration and agree on the owner of each endpoint.
func consistent(states []processState, l []*knownEndpoint) bool {
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
	return !slices.ContainsFunc(l, func(k *knownEndpoint) bool { return len(k.owners) > 1 })
}
