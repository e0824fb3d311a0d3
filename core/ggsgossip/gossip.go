// Package ggsgossip decides which VMs a VM tells what it knows, who passes it on,
// and which of them asks the platform's store on behalf of the others.
//
// # Usage
//
//	for _, r := range ggsgossip.Routes(self, peers, ggscore.RelayRegions, sequence) { … }
//	rs := ggsgossip.Routes(self, peers, beat.Relay, beat.Sequence) // pass a beat on
//	age := ggsgossip.ReadAge(ggsgossip.Rank(self.VM, heard), rand.Float64())
//	wait := ggsgossip.WatchWait(len(heard)+1, rand.Float64())
//	next := ggsgossip.BeatInterval(len(heard)+1, owner)
//
// A word goes straight to the VMs of the own failure domain, to one VM of each
// other domain of the region, and to one of each other region, which pass it on:
// bytes between domains and regions are paid for, and sent to each VM they grew
// with the square of the VMs. The package holds no clock, no goroutine and no lock.
package ggsgossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ggscore "greengageslip/core"
)

// A Member is a VM, and where it stands.
type Member struct {
	VM     ggscore.VMID
	Domain ggscore.Domain
	Region ggscore.Region
}

// A Route is a VM that is sent a word, and how far it is to pass it on.
type Route struct {
	To    ggscore.VMID
	Relay ggscore.Relay
}

// Routes returns the VMs that are sent a word that reaches as far as the relay
// says. Which VM of another domain or region passes it on changes with the
// sequence, so that one that is gone costs a part of the words only.
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
			rs = append(rs, Route{To: turn(self.VM, vms, sequence), Relay: ggscore.RelayDomain})
		}
	}
	if reach >= ggscore.RelayRegions {
		for _, vms := range regions {
			rs = append(rs, Route{To: turn(self.VM, vms, sequence), Relay: ggscore.RelayDomains})
		}
	}
	slices.SortFunc(rs, func(a, b Route) int { return cmp.Compare(a.To, b.To) })
	return rs
}

// turn returns the VM that passes the word of a sequence on.
//
// VMs that started together count their words alike. Chosen by the sequence alone, one
// VM of a domain passed on the beats of all others at the same moment: at 69 VMs 57
// beats to 11 peers, 280 KB, which kept its link of 10 Mbit/s busy for 225 ms, and the
// pieces of its streams waited behind them.
func turn(self ggscore.VMID, vms []ggscore.VMID, sequence uint64) ggscore.VMID {
	slices.Sort(vms)
	return vms[(xxhash.Sum64String(string(self))+sequence)%uint64(len(vms))]
}

// Rank returns how many of the peers that are heard come before a VM in reading the
// list of endpoints.
func Rank(self ggscore.VMID, heard []ggscore.VMID) int {
	n := 0
	for _, vm := range heard {
		if vm < self {
			n++
		}
	}
	return n
}

const (
	// readAge is the age at which the list of endpoints is read anew: an endpoint
	// that leaves may get no request 2.5 s after it said so.
	readAge = 700 * time.Millisecond
	// readStep is the head start that a VM has before the next: its reading is
	// known to the others a beat of 150 ms and its way later. With readings spread
	// at random over 0.6 s, half of nine VMs read, and 18 of 65.
	readStep = 200 * time.Millisecond
	// maxRank is the rank from which VMs no longer wait for each other.
	maxRank = 3
	// readSpread is added at random from maxRank on.
	readSpread = 200 * time.Millisecond
	// aloneAge is the age at which a VM that hears no other reads.
	aloneAge = 900 * time.Millisecond
)

// followerAge and followerSpread are the age at which a VM that leaves the list to relays
// reads it: an endpoint that leaves may get no request 2.5 s after it said so.
const (
	followerAge    = 1600 * time.Millisecond
	followerSpread = 200 * time.Millisecond
)

// FollowerReadAge returns the age of the list of endpoints at which a VM that leaves it to
// relays reads it; x is drawn from 0 to 1.
func FollowerReadAge(x float64) time.Duration {
	return followerAge + time.Duration(x*float64(followerSpread))
}

// ReadAge returns the age of the list of endpoints at which a VM of a rank reads
// it; x is drawn from 0 to 1.
func ReadAge(rank int, x float64) time.Duration {
	d := readAge + readStep*time.Duration(min(rank, maxRank))
	if rank >= maxRank {
		d += time.Duration(x * float64(readSpread))
	}
	return d
}

// AloneAge returns the age of the list of endpoints at which a VM that hears no
// other reads it.
func AloneAge() time.Duration { return aloneAge }

const (
	// watchLeast is how long a watch waits at least. A watch whose connection went
	// silent is noticed after it and a call's timeout, inside the 3 s for which such
	// a loss excuses a late configuration.
	watchLeast = time.Second
	// watchAlone is added where no peer is heard.
	watchAlone = 800 * time.Millisecond
	// watchPerVM is added at random for each VM: each tells the others what it sees
	// changed, so the first to notice is enough, and the watches that end in a
	// second stay as many, about four.
	watchPerVM = 550 * time.Millisecond
	// watchMost bounds a watch's wait: the store takes 30 s.
	watchMost = 28 * time.Second
)

// OperatorsStale is the time without a reading of the operators' entries by any VM from
// which one that leaves them to relays watches them itself.
const OperatorsStale = 3 * time.Second

// WatchGrace is how long a watch that a peer's notification overtook may go on without
// a byte: the store answers all watches of a change one after the other, and a watch
// that answers costs less than the full snapshot in its place.
const WatchGrace = 400 * time.Millisecond

// WatchWait returns how long a watch of the operators' entries waits where so many
// VMs hear each other, this one counted; x is drawn from 0 to 1.
func WatchWait(vms int, x float64) time.Duration {
	if vms <= 1 {
		return watchLeast + watchAlone
	}
	return min(watchLeast+time.Duration(x*float64(vms)*float64(watchPerVM)), watchMost)
}

const (
	// beatOwner is the time between beats to the store of a VM that gives orders:
	// it does so for 9 s after the last one that was acknowledged, so outages of
	// 6.5 s stop none.
	beatOwner = 2500 * time.Millisecond
	// beatOwnerMany is that in a deployment of manyVMs and more, where beats were
	// half of the calls: outages of 5 s stop no orders.
	beatOwnerMany = 4 * time.Second
	manyVMs       = 30
	// beatIdle is that of a VM that gives no orders. Its record only tells others
	// that it is there, and lasts.
	beatIdle = 10 * time.Second
	// beatIdlePerVM is what each VM adds to it: the beats of a second stay as many.
	beatIdlePerVM = 400 * time.Millisecond
)

// BeatInterval returns the time between a VM's beats to the store where so many
// VMs hear each other.
func BeatInterval(vms int, owner bool) time.Duration {
	switch {
	case !owner:
		return max(beatIdle, beatIdlePerVM*time.Duration(vms))
	case vms >= manyVMs:
		return beatOwnerMany
	}
	return beatOwner
}

const (
	// recordsLeast is the least time between readings of the VMs' own records, and
	// recordsPerVM what each VM adds: a reading costs a tenth of a call.
	recordsLeast = time.Second
	recordsPerVM = 40 * time.Millisecond
)

// RecordsInterval returns the time between a VM's readings of the VMs' own records.
func RecordsInterval(vms int) time.Duration {
	return max(recordsLeast, recordsPerVM*time.Duration(vms))
}

const (
	// retryFirst is the pause after a call of the store that failed, and retryMost
	// that after several in a row: it doubles. A VM reads within it once the store
	// is back, and is held to what the store says 3 s after that.
	retryFirst = 200 * time.Millisecond
	retryMost  = 800 * time.Millisecond
)

// RetryPause returns the pause after so many failed calls of the store in a row, of
// a VM that knows enough to serve; x is drawn from 0 to 1. One that doesn't serve yet
// asks again after the first pause each time.
//
// Refused calls count and are paid for like others: 65 VMs that asked for three
// things five times a second made 900 calls a second of a store that was away.
func RetryPause(failures int, serves bool, x float64) time.Duration {
	d := retryFirst
	for range failures - 1 {
		if !serves || d >= retryMost {
			break
		}
		d *= 2
	}
	return time.Duration(float64(d) * (0.75 + x/4))
}
