package ggsquarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

// requestDepth is the depth of a request as a suspect. It is shared by fewer requests than any part.
const requestDepth = math.MaxInt

// maxReported bounds the crashes of one suspect in a report.
const maxReported = 2 * minCrashes

// maxRequests bounds the requests that are known of one suspect.
const maxRequests = 64

// A process is a process of an endpoint.
type process struct {
	endpoint  ggscore.EndpointID
	startedAt int64
}

// processOf returns the process of a crash. VMs report its start in milliseconds.
func processOf(c ggscore.Crash) process { return process{c.Endpoint, c.StartedAt.UnixMilli()} }

// A peerUse is a peer's uses of a suspect, and when they were reported.
type peerUse struct {
	ggscore.SuspectUse
	at time.Time
}

// A suspect is what requests have in common under which endpoints crashed.
type suspect struct {
	crashes map[process]time.Time
	// requests are those under which the processes crashed, as far as they are known.
	requests map[ggscore.SuspectID]bool
	// own is set if a request of this VM was among them, and copies if another was under way at this VM at a crash.
	own, copies bool
	// repeated is set if this VM has reported the crashes of others again.
	repeated bool
	// depth is the part's place in prompts. The more requests share a part, the further ahead it is.
	depth int
	// uses are those that peers reported.
	uses map[ggscore.VMID]peerUse
	// since is when the suspect came into quarantine, zero if it isn't.
	since time.Time
	// repliedAt is when this VM last reported its own uses.
	repliedAt time.Time
	// toldTries is set if peers know of this VM's tries under way.
	toldTries bool
}

// peersTries returns the number of tries of a request that are under way at peers. Of two VMs whose tries are queued
// at the same time, that with the lesser ID goes on.
func (s *suspect) peersTries(now time.Time, self ggscore.VMID, queued bool) int {
	n := 0
	for vm, u := range s.uses {
		if now.Sub(u.at) < undecidedPeriod && (!queued || vm < self) {
			n += u.Pending
		}
	}
	return n
}

func isRequest(id ggscore.SuspectID) bool {
	_, ok := id.Request()
	return ok
}

// reported returns the crashes of a suspect for a report.
func (s *suspect) reported(id ggscore.SuspectID) []ggscore.Crash {
	cs := make([]ggscore.Crash, 0, min(len(s.crashes), maxReported))
	for p := range s.crashes {
		if len(cs) == maxReported {
			break
		}
		cs = append(cs, ggscore.Crash{Suspect: id, Endpoint: p.endpoint, StartedAt: time.UnixMilli(p.startedAt)})
	}
	return cs
}

// requestOf returns the suspect that is a request, empty if there is none.
func requestOf(ids []ggscore.SuspectID) ggscore.SuspectID {
	if i := slices.IndexFunc(ids, isRequest); i >= 0 {
		return ids[i]
	}
	return ""
}

// addCrash adds a crash under a request to its suspect, nil if the suspect can't be followed.
func (t *Table) addCrash(now time.Time, c ggscore.Crash, depth int, request ggscore.SuspectID) *suspect {
	if len(c.Suspect) > maxIDBytes {
		return nil
	}
	s := t.suspects[c.Suspect]
	if s == nil {
		if len(t.suspects) >= maxSuspects {
			t.forget(now)
		}
		if len(t.suspects) >= maxSuspects {
			return nil
		}
		s = &suspect{crashes: map[process]time.Time{}, requests: map[ggscore.SuspectID]bool{}, uses: map[ggscore.VMID]peerUse{}}
		t.suspects[c.Suspect] = s
	}
	if t.countCrashes(now, c.Suspect, s) == 0 {
		clear(s.uses)
		clear(s.requests)
	}
	s.depth = max(s.depth, depth)
	if isRequest(c.Suspect) {
		s.depth = requestDepth
	}
	if request != "" && len(s.requests) < maxRequests {
		s.requests[request] = true
	}
	p := processOf(c)
	if _, ok := s.crashes[p]; !ok {
		s.crashes[p] = now
		s.copies = s.copies || t.pending[c.Suspect] > 0
	}
	if len(s.crashes) < minCrashes {
		s.since = time.Time{}
	}
	t.unanswered = nil
	if len(s.crashes) >= suspectCrashes {
		t.repeated[c.Suspect] = s
	}
	return s
}

// forget drops the suspects whose crashes no longer count or are single and old, at most once in
// forgetInterval.
func (t *Table) forget(now time.Time) {
	if now.Sub(t.forgotAt) < forgetInterval {
		return
	}
	t.forgotAt = now
	for id, s := range t.suspects {
		if n := t.countCrashes(now, id, s); n == 0 || n == 1 && s.lastCrash(now) >= loneCrashTime {
			t.drop(id)
		}
	}
}

// drop removes a suspect.
func (t *Table) drop(id ggscore.SuspectID) {
	delete(t.suspects, id)
	delete(t.repeated, id)
	t.unanswered = nil
}

// lastCrash returns the time since the last crash.
func (s *suspect) lastCrash(now time.Time) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, at := range s.crashes {
		least = min(least, now.Sub(at))
	}
	return least
}

// countCrashes returns the number of crashes that count, and drops the others.
func (t *Table) countCrashes(now time.Time, id ggscore.SuspectID, s *suspect) int {
	period := partCrashPeriod
	if isRequest(id) {
		period = requestCrashPeriod
	}
	for k, at := range s.crashes {
		if now.Sub(at) >= period {
			delete(s.crashes, k)
		}
	}
	return len(s.crashes)
}

func (t *Table) usesOf(id ggscore.SuspectID) *useCounts {
	if isRequest(id) {
		return &t.requestUses
	}
	return &t.partUses
}

// ownUse returns this VM's uses of a suspect.
func (t *Table) ownUse(now time.Time, id ggscore.SuspectID) ggscore.SuspectUse {
	u := t.usesOf(id).count(now, id)
	u.Pending = t.pending[id]
	return u
}

// tries returns the number of this VM's tries of a request that are under way, or of which it doesn't know yet whether
// their endpoints have survived them.
func (t *Table) tries(now time.Time, id ggscore.SuspectID) int {
	return t.pending[id] + t.undecided(now, id)
}

// use returns the uses of a suspect at all VMs, as far as they are known.
func (t *Table) use(now time.Time, id ggscore.SuspectID, s *suspect) ggscore.SuspectUse {
	u := t.ownUse(now, id)
	for _, o := range s.uses {
		u = sum(u, o.SuspectUse)
	}
	return u
}

// outweighed reports whether a suspect's answers outweigh its crashes.
func (t *Table) outweighed(now time.Time, id ggscore.SuspectID, s *suspect) bool {
	return outweighs(id, counterweight(id, t.use(now, id, s)), t.weight(now, id, s))
}

// outweighs reports whether answers outweigh crashes.
func outweighs(id ggscore.SuspectID, answers, crashes int) bool {
	if isRequest(id) {
		return answers*crashesPerAnswer >= crashes
	}
	return answers >= answersPerCrash*crashes
}

// weight returns the number of crashes that answers have to outweigh. For a part, those under tries of one
// request count once, and so do those of one moment: endpoints that fail together say little about what they ran.
func (t *Table) weight(now time.Time, id ggscore.SuspectID, s *suspect) int {
	n := t.countCrashes(now, id, s)
	if isRequest(id) {
		return n
	}
	n = min(n, s.moments())
	if len(s.requests) > 0 {
		n = min(n, len(s.requests))
	}
	return n
}

// moments returns the number of times at which processes crashed that are further apart than crashMoment.
func (s *suspect) moments() int {
	at := slices.SortedFunc(maps.Values(s.crashes), time.Time.Compare)
	n := 0
	for i := range at {
		if n == 0 || at[i].Sub(at[0]) > crashMoment {
			n, at[0] = n+1, at[i]
		}
	}
	return n
}

// counterweight returns the number of requests that speak against a suspect's crashing endpoints. Requests
// with a part that are under way count as answered until they end, because many are at a time at which none
// has been answered yet. Tries of one request are no evidence for each other.
func counterweight(id ggscore.SuspectID, u ggscore.SuspectUse) int {
	if isRequest(id) {
		return u.Answered
	}
	return u.Answered + min(u.Pending, maxPending)
}

// unexplained returns the number of a suspect's crashes that speak against it, zero if its answers outweigh
// them.
func (t *Table) unexplained(now time.Time, id ggscore.SuspectID, s *suspect) int {
	n := t.countCrashes(now, id, s)
	if n < suspectCrashes || t.outweighed(now, id, s) {
		return 0
	}
	crashes := s.crashes
	if t.use(now, id, s).Answered > 0 {
		crashes = t.withoutUnanswered(now, s)
	}
	if isRequest(id) {
		return len(crashes)
	}
	return t.unexplainedPart(now, id, crashes)
}

// crashesAgainst returns the number of crashes that speak against a request, also a single one. It is zero if answers
// outweigh them.
func (t *Table) crashesAgainst(now time.Time, id ggscore.SuspectID, s *suspect) int {
	if t.outweighed(now, id, s) {
		return 0
	}
	return t.countCrashes(now, id, s)
}

// withoutUnanswered returns the crashes at which no request was under way that crashed endpoints repeatedly and
// was never answered. It serves for suspects that were answered: others would explain each other's crashes
// where several crash all endpoints.
func (t *Table) withoutUnanswered(now time.Time, s *suspect) map[process]time.Time {
	left := maps.Clone(s.crashes)
	for p := range t.unansweredCrashes(now) {
		delete(left, p)
	}
	return left
}

// unansweredCrashes returns the crashes at which a request was under way that crashed endpoints repeatedly and
// was never answered.
func (t *Table) unansweredCrashes(now time.Time) map[process]bool {
	if t.unanswered != nil && now.Equal(t.unansweredAt) {
		return t.unanswered
	}
	t.unanswered, t.unansweredAt = map[process]bool{}, now
	for id, q := range t.quarantined {
		if isRequest(id) && t.ownUse(now, id).Answered == 0 {
			t.addUnanswered(q.crashes)
		}
	}
	for id, s := range t.repeated {
		if isRequest(id) && t.countCrashes(now, id, s) >= suspectCrashes && t.use(now, id, s).Answered == 0 {
			t.addUnanswered(s.crashes)
		}
	}
	return t.unanswered
}

func (t *Table) addUnanswered(crashes map[process]time.Time) {
	for p := range crashes {
		t.unanswered[p] = true
	}
}

// unexplainedPart returns the number of a part's crashes that no single likelier suspect explains. Requests
// share parts, and others are under way at a crash.
func (t *Table) unexplainedPart(now time.Time, id ggscore.SuspectID, crashes map[process]time.Time) int {
	least := len(crashes)
	for o, q := range t.quarantined {
		if o != id && explainable(crashes, o, q.crashes) {
			least = min(least, missing(crashes, q.crashes))
		}
	}
	for o, q := range t.repeated {
		if o == id || !explainable(crashes, o, q.crashes) {
			continue
		}
		// Most suspects explain nothing, and comparing the evidence takes longest.
		n := missing(crashes, q.crashes)
		if n < least && t.countCrashes(now, o, q) >= suspectCrashes && t.likelier(now, o, id) {
			least = n
		}
	}
	return least
}

// explainable reports whether another suspect may explain a part's crashes. A request doesn't if others crash
// endpoints under the part as well.
func explainable(crashes map[process]time.Time, o ggscore.SuspectID, others map[process]time.Time) bool {
	if !isRequest(o) {
		return true
	}
	return len(crashes) < len(others)+suspectCrashes && missing(crashes, others) < suspectCrashes
}

// missing returns the number of crashes that others lack.
func missing(crashes, others map[process]time.Time) int {
	n := 0
	for k := range crashes {
		if _, ok := others[k]; !ok {
			n++
		}
	}
	return n
}

// likelier reports whether a suspect is likelier than another to crash endpoints: it has fewer answers for
// each crash, crashed more processes, or fewer requests have it.
func (t *Table) likelier(now time.Time, a, b ggscore.SuspectID) bool {
	s, o := t.suspects[a], t.suspects[b]
	u, v := t.use(now, a, s), t.use(now, b, o)
	n, m := t.countCrashes(now, a, s), t.countCrashes(now, b, o)
	return cmp.Or(
		cmp.Compare(counterweight(b, v)*n, counterweight(a, u)*m),
		cmp.Compare(n, m),
		cmp.Compare(v.Sent, u.Sent),
		cmp.Compare(s.depth, o.depth),
		cmp.Compare(a, b),
	) > 0
}
