package ggsquarantine

import (
	"time"

	ggscore "greengageslip/core"
)

const (
	// minCrashes is the number of crashed processes from which a suspect is in quarantine. Fewer
	// crashes also hit innocent parts of rare requests.
	minCrashes = 3
	// suspectCrashes is the number of crashed processes from which a request that broke off isn't
	// sent to another endpoint, and from which VMs report their uses of the suspect.
	suspectCrashes = minCrashes - 1
	// answersPerCrash is the number of answers, or of requests under way, that outweigh a crash.
	answersPerCrash = 2
	// crashMoment is the time within which endpoints that crash may have failed together: a failure of their
	// failure domain, and what reports of it take.
	crashMoment = 250 * time.Millisecond
	// crashesPerAnswer is the number of crashes that an answer of a request outweighs. A request that crashes
	// its endpoint is hardly ever answered, while one of many callers is under way at most crashes.
	crashesPerAnswer = 4
	// maxPending bounds the requests under way that outweigh crashes: at long queues many requests with
	// the part are under way, and all of them will crash their endpoints.
	maxPending = 8
	// partCrashPeriod and requestCrashPeriod are how long a crash counts. A caller may send a request again
	// after minutes, while other requests with a part arrive at any time.
	partCrashPeriod    = 2 * time.Minute
	requestCrashPeriod = 10 * time.Minute
	// partConfirmTime and requestConfirmTime are how long peers have to report their uses before a quarantine
	// is recorded. All VMs use the parts of a request, and few have answered the request itself. A VM that
	// starts in the meantime doesn't know of the crashes.
	partConfirmTime    = time.Second
	requestConfirmTime = 200 * time.Millisecond
	// undecidedRetryAfter is when a request may come again that is refused by a quarantine that isn't recorded,
	// or because another try of it is under way.
	undecidedRetryAfter = time.Second
	// quarantineTime is how long a suspect is kept from endpoints after its quarantine was recorded, or
	// after this VM has read the record.
	quarantineTime = 10 * time.Minute
	// recordTime is how long after a quarantine the VMs whose requests crashed endpoints have to write
	// its record before any VM does.
	recordTime = 5 * time.Second
	// replyInterval limits a VM's reports of its uses of one suspect.
	replyInterval = 5 * time.Second
	// forgetInterval limits scans of all suspects for some to forget, and loneCrashTime is when one with a
	// single crash may be forgotten.
	forgetInterval = time.Second
	loneCrashTime  = 30 * time.Second
	// maxSuspects bounds the suspects, and maxIDBytes their IDs, which callers choose.
	maxSuspects = 1 << 12
	maxIDBytes  = 64
	// maxQuarantined bounds the suspects in recorded quarantine.
	maxQuarantined = 256
)

// A Table holds what a VM knows about requests that crash endpoints.
type Table struct {
	vm ggscore.VMID
	// partUses and requestUses count this VM's requests by suspect. Each request is a suspect of its own, and
	// would displace the counts of parts.
	partUses    useCounts
	requestUses useCounts
	// pending counts this VM's requests under way.
	pending  map[ggscore.SuspectID]int
	suspects map[ggscore.SuspectID]*suspect
	// repeated are the suspects under which more than one process crashed.
	repeated    map[ggscore.SuspectID]*suspect
	forgotAt    time.Time
	quarantined map[ggscore.SuspectID]*quarantine
	// records are the suspects with a record in the store.
	records map[ggscore.SuspectID]bool
	// unanswered are the crashes of unansweredCrashes at unansweredAt, nil after another crash.
	unanswered   map[process]bool
	unansweredAt time.Time
	// crashed are the endpoints that crashed under requests.
	crashed map[ggscore.EndpointID]crashedProcess
	// abandoned are this VM's requests that were given up, by their endpoints.
	abandoned map[ggscore.EndpointID]map[ggscore.SuspectID]abandonedTry
	// own are the crashes under requests of this VM, which may turn out to be none.
	own map[ggscore.EndpointID][]ownCrash
	// withdrawn are the crashes under requests that were none.
	withdrawn map[withdrawnCrash]withdrawal
}

// NewTable returns an empty table of a VM.
func NewTable(vm ggscore.VMID) *Table {
	return &Table{
		vm: vm, pending: map[ggscore.SuspectID]int{}, suspects: map[ggscore.SuspectID]*suspect{}, repeated: map[ggscore.SuspectID]*suspect{}, quarantined: map[ggscore.SuspectID]*quarantine{},
		records: map[ggscore.SuspectID]bool{}, crashed: map[ggscore.EndpointID]crashedProcess{},
		abandoned: map[ggscore.EndpointID]map[ggscore.SuspectID]abandonedTry{}, own: map[ggscore.EndpointID][]ownCrash{},
		withdrawn: map[withdrawnCrash]withdrawal{},
	}
}

// RecordSent records that a request is sent to an endpoint. RecordEnded has to follow.
func (t *Table) RecordSent(now time.Time, ids []ggscore.SuspectID) {
	for _, id := range ids {
		t.usesOf(id).add(now, id, ggscore.SuspectUse{Sent: 1})
		t.pending[id]++
	}
}

// RecordEnded records that a request is no longer under way at an endpoint.
func (t *Table) RecordEnded(ids []ggscore.SuspectID) {
	for _, id := range ids {
		if t.pending[id]--; t.pending[id] <= 0 {
			delete(t.pending, id)
		}
	}
}

// RecordAnswer records a success: one that went on after its beginning for the parts of its prompt, and a
// complete one for its request.
func (t *Table) RecordAnswer(now time.Time, ids ...ggscore.SuspectID) {
	for _, id := range ids {
		t.usesOf(id).add(now, id, ggscore.SuspectUse{Answered: 1})
	}
}

// A BrokenRequest is a request that broke off as its endpoint crashed.
type BrokenRequest struct {
	Endpoint ggscore.EndpointID
	// StartedAt is the start of the endpoint's process, as far as the VM knows.
	StartedAt time.Time
	// Suspects are the parts of the request's prompt and the request itself.
	Suspects []ggscore.SuspectID
}

// RecordCrash records that an endpoint crashed under a request of this VM, whose try has ended, and under those that were abandoned
// there lately. It returns the report for the peers.
func (t *Table) RecordCrash(now time.Time, b BrokenRequest) ggscore.CrashReport {
	r := t.recordCrash(now, b)
	mergeReport(&r, t.RecordDown(now, b.Endpoint))
	return r
}

// recordCrash records that an endpoint crashed under a request.
func (t *Table) recordCrash(now time.Time, b BrokenRequest) ggscore.CrashReport {
	r := ggscore.CrashReport{VM: t.vm}
	request, restartedAt := requestOf(b.Suspects), t.recordProcess(now, &b)
	own := ownCrash{at: now, listedAt: b.StartedAt}
	defer func() { t.addOwnCrash(b.Endpoint, own) }()
	for depth, id := range b.Suspects {
		c := ggscore.Crash{Suspect: id, Endpoint: b.Endpoint, StartedAt: b.StartedAt}
		if isRequest(id) {
			c.StartedAt = restartedAt
		}
		t.condemn(id)
		s := t.addCrash(now, c, depth, request)
		if s == nil {
			continue
		}
		s.own = true
		own.crashes = append(own.crashes, c)
		u := t.ownUse(now, id)
		if outweighs(id, u.Answered, t.weight(now, id, s)) {
			continue
		}
		if len(s.crashes) >= minCrashes {
			t.evaluate(now, id, s)
		}
		// Peers may not know the earlier crashes: a report was lost, or answers outweighed them.
		r.Crashes = append(r.Crashes, s.reported(id)...)
		t.addUse(now, &r, id)
	}
	return r
}

// ObserveReport records a peer's report. The returned report has this VM's uses of suspects that are about
// to come into quarantine, and repeats the crashes of those that are there.
func (t *Table) ObserveReport(now time.Time, r ggscore.CrashReport) ggscore.CrashReport {
	reply := ggscore.CrashReport{VM: t.vm}
	ids := make([]ggscore.SuspectID, 0, len(r.Crashes))
	for _, c := range r.Crashes {
		ids = append(ids, c.Suspect)
	}
	request := requestOf(ids)
	for depth, c := range r.Crashes {
		if t.wasWithdrawn(now, c, &reply) || t.acquitted(now, c) {
			continue
		}
		if isRequest(c.Suspect) {
			t.observeProcess(now, &c)
		}
		if q := t.quarantined[c.Suspect]; q != nil && q.own && q.missedBy(now, c) {
			q.repliedAt = now
			reply.Crashes = append(reply.Crashes, (&suspect{crashes: q.crashes}).reported(c.Suspect)...)
		}
		s := t.addCrash(now, c, depth, request)
		if s == nil {
			continue
		}
		n := t.countCrashes(now, c.Suspect, s)
		if s.own && !s.repeated && n >= minCrashes && isRequest(c.Suspect) {
			s.repeated = true
			reply.Crashes = append(reply.Crashes, s.reported(c.Suspect)...)
		}
		if t.hasEvidence(now, c.Suspect, n) && now.Sub(s.repliedAt) >= replyInterval || isRequest(c.Suspect) && t.tries(now, c.Suspect) > 0 {
			s.repliedAt = now
			t.addUse(now, &reply, c.Suspect)
		}
	}
	t.observeWithdrawn(now, r)
	for id, u := range r.Uses {
		if s := t.suspects[id]; s != nil {
			s.uses[r.VM] = peerUse{u, now}
		}
	}
	for _, id := range ids {
		if s := t.suspects[id]; s != nil && len(s.crashes) >= minCrashes {
			t.evaluate(now, id, s)
		}
	}
	for _, c := range r.Crashes {
		mergeReport(&reply, t.RecordDown(now, c.Endpoint))
	}
	return reply
}

// hasEvidence reports whether this VM's uses of a suspect with a number of crashes matter to peers. An answer may be
// the only one, and tells that a request is sound.
func (t *Table) hasEvidence(now time.Time, id ggscore.SuspectID, crashes int) bool {
	u := t.ownUse(now, id)
	if isRequest(id) {
		return u.Answered > 0
	}
	return crashes >= suspectCrashes && u != (ggscore.SuspectUse{})
}

// addUse adds this VM's uses of a suspect to a report.
func (t *Table) addUse(now time.Time, r *ggscore.CrashReport, id ggscore.SuspectID) {
	u := t.ownUse(now, id)
	if isRequest(id) {
		u.Pending = t.tries(now, id)
	}
	if s := t.suspects[id]; s != nil && u.Pending > 0 {
		s.toldTries = true
	}
	addUse(r, id, u)
}

func addUse(r *ggscore.CrashReport, id ggscore.SuspectID, u ggscore.SuspectUse) {
	if r.Uses == nil {
		r.Uses = map[ggscore.SuspectID]ggscore.SuspectUse{}
	}
	r.Uses[id] = u
}

// Check returns a *QuarantinedError if one of a request's suspects is in quarantine, or would be if endpoints crashed
// under all tries of the request that are under way at any VM. The request is queued if RecordSent was called for it.
func (t *Table) Check(now time.Time, ids []ggscore.SuspectID, queued bool) error {
	tries := 0
	if queued {
		tries = 1
	}
	for _, id := range ids {
		if q := t.quarantined[id]; q != nil && now.Before(q.until) {
			return &QuarantinedError{Suspect: id, Crashes: len(q.crashes), HalfOpen: t.HalfOpen(now, id), RetryAfter: q.retryAfter(now)}
		}
		s := t.suspects[id]
		if s == nil {
			continue
		}
		n := t.evaluate(now, id, s)
		if n >= minCrashes {
			return &QuarantinedError{Suspect: id, Crashes: n, Undecided: true, RetryAfter: undecidedRetryAfter}
		}
		if !isRequest(id) {
			continue
		}
		n = t.crashesAgainst(now, id, s)
		if n > 0 && n+t.tries(now, id)-tries+s.peersTries(now, t.vm, queued) >= minCrashes {
			return &QuarantinedError{Suspect: id, Crashes: n, Undecided: true, RetryAfter: undecidedRetryAfter}
		}
	}
	return nil
}

// ReportTries returns the report of the tries under way of requests under which endpoints crashed, empty for others. It
// follows each change of their number.
func (t *Table) ReportTries(now time.Time, ids []ggscore.SuspectID) ggscore.CrashReport {
	r := ggscore.CrashReport{VM: t.vm}
	for _, id := range ids {
		s := t.suspects[id]
		if s == nil || !isRequest(id) {
			continue
		}
		// An answer that ends the suspicion is reported once.
		against, told := t.crashesAgainst(now, id, s) > 0, s.toldTries
		s.toldTries = against
		if against || told {
			t.addUse(now, &r, id)
		}
	}
	return r
}

// Suspected reports whether endpoints crashed repeatedly under one of a request's suspects, so that a request
// which broke off must not be sent to another endpoint.
func (t *Table) Suspected(now time.Time, ids []ggscore.SuspectID) bool {
	for _, id := range ids {
		s := t.suspects[id]
		if s != nil && t.unexplained(now, id, s) >= suspectCrashes {
			return true
		}
	}
	return false
}

// Crashed reports whether an endpoint is known to have crashed under a request.
func (t *Table) Crashed(now time.Time, ids []ggscore.SuspectID) bool {
	id := requestOf(ids)
	s := t.suspects[id]
	return s != nil && t.countCrashes(now, id, s) > 0
}

// Len returns the number of entries in memory.
func (t *Table) Len() int {
	return t.partUses.len() + t.requestUses.len() + len(t.pending) + len(t.suspects) + len(t.quarantined) + len(t.records) + len(t.crashed) + len(t.abandoned) + len(t.own) + len(t.withdrawn)
}

// Advance confirms quarantines that have lasted for their time. A request that is rarely sent again may
// never be checked twice by one VM.
func (t *Table) Advance(now time.Time) {
	for id, s := range t.repeated {
		if len(s.crashes) >= minCrashes {
			t.evaluate(now, id, s)
		}
	}
	t.doubt(now)
}

// evaluate returns the number of crashes that speak against a suspect, and confirms its quarantine if it has
// lasted for its time.
func (t *Table) evaluate(now time.Time, id ggscore.SuspectID, s *suspect) int {
	n := t.unexplained(now, id, s)
	if n < minCrashes {
		s.since = time.Time{}
		return n
	}
	if s.since.IsZero() {
		s.since = now
	}
	if now.Sub(s.since) >= confirmTime(id) {
		t.confirm(now, id, s)
	}
	return n
}
