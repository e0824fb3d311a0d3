// Package ggsgossip decides which VMs a VM sends its messages to, which VMs forward them, and
// which VM reads the platform's store on behalf of the others.
//
// # Usage
//
//	for _, r := range ggsgossip.Routes(self, peers, ggscore.RelayRegions, sequence) { … }
//	rs := ggsgossip.Routes(self, peers, h.Relay, h.Sequence) // forward a heartbeat
//	age := ggsgossip.ReadAge(ggsgossip.Rank(self.VM, reachable), rand.Float64())
//	wait := ggsgossip.WatchWait(len(reachable)+1, rand.Float64())
//	next := ggsgossip.HeartbeatInterval(len(reachable)+1, owner)
//
// A message goes directly to the VMs of the sender's failure domain, to one VM of each other
// domain of its region, and to one VM of each other region. The latter two forward it. Traffic
// between domains and regions is billed, and would grow with the square of the number of VMs
// if each message went directly to every VM.
//
// The package has no clock, goroutine, lock or state. Callers pass random numbers.
package ggsgossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

// A Member is a VM with its failure domain and region.
type Member struct {
	VM     ggscore.VMID
	Domain ggscore.Domain
	Region ggscore.Region
}

// A Route is a VM to send a message to, and how far that VM is to forward it.
type Route struct {
	To    ggscore.VMID
	Relay ggscore.Relay
}

// Routes returns the VMs to send a message to. reach is the range that the message has to cover.
// The VM that forwards the message in another domain or region changes with the sequence, so
// that an unreachable VM affects only some of the messages.
func Routes(self Member, peers []Member, reach ggscore.Relay, sequence uint64) []Route {
	var rs []Route
	domains := map[ggscore.Domain][]ggscore.VMID{}
	regions := map[ggscore.Region][]ggscore.VMID{}
	for _, p := range peers {
		switch {
		case p.Domain == self.Domain:
			rs = append(rs, Route{To: p.VM})
		case p.Region == self.Region:
			domains[p.Domain] = append(domains[p.Domain], p.VM)
		default:
			regions[p.Region] = append(regions[p.Region], p.VM)
		}
	}
	if reach >= ggscore.RelayDomains {
		for _, vms := range domains {
			rs = append(rs, Route{To: forwarder(self.VM, vms, sequence), Relay: ggscore.RelayDomain})
		}
	}
	if reach >= ggscore.RelayRegions {
		for _, vms := range regions {
			rs = append(rs, Route{To: forwarder(self.VM, vms, sequence), Relay: ggscore.RelayDomains})
		}
	}
	slices.SortFunc(rs, func(a, b Route) int { return cmp.Compare(a.To, b.To) })
	return rs
}

// forwarder selects the one of vms that forwards the sender's message with the given sequence.
//
// VMs that started at the same time have the same sequences. If the sequence alone selected the
// forwarder, one VM of a domain would forward the heartbeats of all VMs of other domains at the
// same moment. With 69 VMs these were 57 heartbeats to 11 peers, or 280 KB, which occupied its
// link of 10 Mbit/s for 225 ms and delayed the chunks of its answer streams. The hash of the
// sender's ID spreads the selection.
func forwarder(self ggscore.VMID, vms []ggscore.VMID, sequence uint64) ggscore.VMID {
	slices.Sort(vms)
	return vms[(xxhash.Sum64String(string(self))+sequence)%uint64(len(vms))]
}

// Rank returns the number of reachable peers that precede a VM in the order in which VMs read
// the list of endpoints, which is that of their IDs.
func Rank(self ggscore.VMID, reachable []ggscore.VMID) int {
	n := 0
	for _, vm := range reachable {
		if vm < self {
			n++
		}
	}
	return n
}

const (
	// readAge is the age at which the list of endpoints is read again. An endpoint must get no
	// requests later than 2.5 s after it announced that it is leaving.
	readAge = 700 * time.Millisecond
	// readStep is the delay between the reads of VMs of consecutive ranks. The other VMs know of
	// a read after a heartbeat interval of 150 ms and the network delay, and then need no read
	// of their own. With reads spread at random over 0.6 s instead, half of 9 VMs and 18 of 65
	// VMs read.
	readStep = 200 * time.Millisecond
	// maxRank is the rank from which on all VMs have the same delay before a random one is added.
	maxRank = 3
	// readSpread is the range of a random delay that VMs from maxRank on add.
	readSpread = 200 * time.Millisecond
	// aloneAge is the age at which a VM without reachable peers reads.
	aloneAge = 900 * time.Millisecond
)

// followerReadAge is the least age at which a VM reads the list of endpoints if it relies on
// relays to read it, and followerReadSpread is the range of a random delay added to it. An
// endpoint must get no requests later than 2.5 s after it announced that it is leaving.
const (
	followerReadAge    = 1600 * time.Millisecond
	followerReadSpread = 200 * time.Millisecond
)

// FollowerReadAge returns the age of the list of endpoints at which a VM that relies on relays
// reads the list itself. x is a random number from 0 to 1.
func FollowerReadAge(x float64) time.Duration {
	return followerReadAge + time.Duration(x*float64(followerReadSpread))
}

// ReadAge returns the age of the list of endpoints at which a VM of a rank reads the list. x is
// a random number from 0 to 1.
func ReadAge(rank int, x float64) time.Duration {
	d := readAge + readStep*time.Duration(min(rank, maxRank))
	if rank >= maxRank {
		d += time.Duration(x * float64(readSpread))
	}
	return d
}

const (
	// minResyncInterval and resyncIntervalPerEndpoint bound the time between a VM's own reads of the
	// list of endpoints. Announcements leave out the adapters that endpoints hold.
	minResyncInterval         = 10 * time.Second
	resyncIntervalPerEndpoint = 200 * time.Millisecond
)

// ResyncInterval returns the time after which a VM reads the list of endpoints without an
// announcement. It grows with the number of endpoints, so that the bytes read per second don't.
func ResyncInterval(endpoints int) time.Duration {
	return max(minResyncInterval, resyncIntervalPerEndpoint*time.Duration(endpoints))
}

// AloneReadAge returns the age of the list of endpoints at which a VM without reachable peers
// reads the list.
func AloneReadAge() time.Duration { return aloneAge }

const (
	// minWatchWait is the least time that a watch waits for changes. A stalled connection is
	// detected after the watch's wait plus a call's timeout. With the least wait this is below 3
	// s, the time by which a stall may delay a configuration.
	minWatchWait = time.Second
	// aloneWatchWait is added to minWatchWait if no peer is reachable.
	aloneWatchWait = 800 * time.Millisecond
	// watchWaitPerVM is the range of a random wait that is added for each VM. A VM notifies the
	// others of the changes that it sees, so one watch that sees a change is enough. The range
	// grows with the number of VMs, so that about four watches end per second until
	// maxWatchWait limits the wait.
	watchWaitPerVM = 550 * time.Millisecond
	// maxWatchWait bounds the wait of a watch. The store accepts up to 30 s.
	maxWatchWait = 28 * time.Second
)

// MaxOperatorsAge is the age of the last read of the operators' entries by any VM from which a VM
// that relies on relays watches the entries itself.
const MaxOperatorsAge = 3 * time.Second

// WatchGrace is how long a watch may continue without receiving a byte after a peer's
// notification of the change has arrived. The store answers the watches of a change one after
// the other, and waiting for this answer costs less than the full snapshot that would replace
// it.
const WatchGrace = 400 * time.Millisecond

// WatchWait returns how long a watch of the operators' entries waits for changes. vms is the
// number of reachable VMs, including this one. x is a random number from 0 to 1.
func WatchWait(vms int, x float64) time.Duration {
	if vms <= 1 {
		return minWatchWait + aloneWatchWait
	}
	return min(minWatchWait+time.Duration(x*float64(vms)*float64(watchWaitPerVM)), maxWatchWait)
}

const (
	// ownerInterval is the time between heartbeats to the store of a VM that sends orders. The
	// VM may send orders for 9 s after the last acknowledged heartbeat, so a store outage of
	// 6.5 s stops no orders.
	ownerInterval = 2500 * time.Millisecond
	// largeOwnerInterval replaces ownerInterval from largeDeploymentVMs on, where heartbeats at
	// ownerInterval were half of the calls to the store. A store outage of 5 s stops no orders.
	largeOwnerInterval = 4 * time.Second
	largeDeploymentVMs = 30
	// minIdleInterval is the least time between heartbeats of a VM that sends no orders. Its
	// record only shows other VMs that it exists, and outlasts the interval.
	minIdleInterval = 10 * time.Second
	// idleIntervalPerVM is the interval for each VM of the deployment, so that the number of
	// heartbeats per second to the store doesn't grow with the number of VMs.
	idleIntervalPerVM = 400 * time.Millisecond
)

// HeartbeatInterval returns the time between a VM's heartbeats to the store. vms is the number of
// reachable VMs, including this one. owner reports whether the VM sends orders.
func HeartbeatInterval(vms int, owner bool) time.Duration {
	switch {
	case !owner:
		return max(minIdleInterval, idleIntervalPerVM*time.Duration(vms))
	case vms >= largeDeploymentVMs:
		return largeOwnerInterval
	}
	return ownerInterval
}

const (
	// minRecordsInterval is the least time between reads of the VMs' records in the store, and
	// recordsIntervalPerVM is the interval for each VM. A read costs a tenth of a call.
	minRecordsInterval   = time.Second
	recordsIntervalPerVM = 40 * time.Millisecond
)

// RecordsInterval returns the time between a VM's reads of the VMs' records in the store. vms is
// the number of reachable VMs, including this one.
func RecordsInterval(vms int) time.Duration {
	return max(minRecordsInterval, recordsIntervalPerVM*time.Duration(vms))
}

const (
	// initialRetryPause is the pause after the first failed call to the store. The pause
	// doubles with each consecutive failure, up to maxRetryPause. A VM reads the store within
	// that pause after the store becomes reachable again, and must conform to the store's
	// state 3 s later.
	initialRetryPause = 200 * time.Millisecond
	maxRetryPause     = 800 * time.Millisecond
)

// RetryPause returns the pause after a number of consecutive failed calls to the store. serves
// reports whether the VM has the state that it needs to serve; a VM that doesn't serve yet
// always retries after the initial pause. x is a random number from 0 to 1 for the jitter.
//
// Refused calls count and are billed like others. Without backoff, 65 VMs with three kinds
// of calls, each made five times a second, made 900 calls a second to an unreachable store.
func RetryPause(failures int, serves bool, x float64) time.Duration {
	d := initialRetryPause
	for range failures - 1 {
		if !serves || d >= maxRetryPause {
			break
		}
		d *= 2
	}
	return time.Duration(float64(d) * (0.75 + x/4))
}
