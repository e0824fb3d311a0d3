package ggsnode_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
)

// Flags of the test of promises.
//
//	go test -timeout 60m ./cmd/ggsnode -run TestJobsRunOnce -promise.seeds 50 -v
//
//nolint:gochecknoglobals // flags of the test
var (
	promiseSeeds = flag.Int("promise.seeds", 0, "play this number of random seeds")
	promiseSeed  = flag.Uint64("promise.seed", 0, "play this seed only")
)

const (
	// promiseClients is the number of callers per VM.
	promiseClients = 6
	// promiseTries bounds the tries of a job, each of which follows a promise that the one before hasn't run.
	promiseTries = 4
	// promiseLate is the time after the last try in which an endpoint may still begin to run it.
	promiseLate = 2500 * time.Millisecond
	// promiseLong is the length of a long body, beyond what is written before an answer is read.
	promiseLong = 60 << 10
	// promiseSound is the share of requests that endpoints answer soundly.
	promiseSound = 0.45
	// promiseWait bounds the wait before the next try.
	promiseWait = time.Second
	// promiseImpatient is the number of tries of which one is given up after a short time.
	promiseImpatient = 12
	// promiseEntryLinger is how long the entry of a process that was replaced is listed, and promiseAgain the time after which
	// an endpoint repeats a refusal.
	promiseEntryLinger = 2 * time.Second
	promiseAgain       = 20 * time.Millisecond
	// promiseBound is the route timeout of requests that may not run twice.
	promiseBound = 1200 * time.Millisecond
)

// A promiseJob is what a caller wants done, in all its tries.
type promiseJob struct {
	body  string
	tries []outcome
}

// Guards against a job that runs twice, or after a promise that it never would, because two troubles meet.
func TestJobsRunOnceWhileTwoTroublesMeet(t *testing.T) {
	t.Parallel()
	//nolint:paralleltest // plays are sequential, so that they don't disturb each other's timing
	for _, seed := range promiseSeedList(1) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { playPromises(t, seed, promisePlay{clients: (*soak).promiseClient}) })
	}
}

// A promisePlay is what a play of promises has beside its seed.
type promisePlay struct {
	clients promiseClient
	// replaced is set if processes also end whose successors listen at their addresses, while their entries are still listed.
	replaced bool
}

func playPromises(t *testing.T, seed uint64, p promisePlay) {
	t.Helper()
	var work sync.WaitGroup
	s := newSoak(t, seed, &work)
	s.start(soakCase{seed: seed}, &work)
	for n, id := range slices.Sorted(maps.Keys(s.site.Endpoints)) {
		s.site.Endpoints[id].SetScripts(newScripter(rand.New(rand.NewPCG(seed, uint64(700+n)))))
	}
	load, stop := context.WithCancel(s.ctx)
	wait := s.startPromiseClients(load, seed, p.clients)
	end := time.Now().Add(*soakLength)
	kinds := promiseTroubles()
	if p.replaced {
		kinds = append(kinds, s.replacements()...)
	}
	var troubles sync.WaitGroup
	for n := range 2 {
		r := rand.New(rand.NewPCG(seed, uint64(800+n)))
		troubles.Go(func() { s.troubleUntil(end, r, kinds) })
	}
	troubles.Wait()
	stop()
	jobs := wait()
	s.sleep(promiseLate)
	s.checkPromises(jobs)
}

// promiseTroubles returns the troubles of every play.
func promiseTroubles() []soakFault {
	return []soakFault{
		{"kill", false, (*soak).kill},
		{"stop", true, (*soak).stop},
		{"freeze", false, (*soak).freeze},
		{"partition", false, (*soak).partitionFromEndpoints},
		{"tunnels change their way", false, (*soak).changeWays},
		{"endpoint link", false, (*soak).breakEndpointLink},
		{"store link", false, (*soak).breakStoreLink},
		{"store unavailable", false, (*soak).storeUnavailable},
		{"configuration", true, (*soak).configure},
		{"endpoint restarts", false, func(s *soak, r *rand.Rand, _ time.Duration) {
			s.site.Endpoints[s.endpoint(r, "")].RestartInPlace(ggsfakesite.DefaultSoftware)
		}},
	}
}

// replacements returns the troubles of processes that are replaced, and lets endpoints repeat their refusals of requests that name
// another process.
func (s *soak) replacements() []soakFault {
	const refusal = "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nRequest-Id: $ID\r\nContent-Length: 0\r\n\r\n"
	s.site.SetEntryLinger(promiseEntryLinger)
	for _, e := range s.site.Endpoints {
		e.SetMisdirected(&ggsfakesite.Script{Text: refusal, Again: refusal, AgainAfter: promiseAgain, NotRun: true})
	}
	replace := func(s *soak, r *rand.Rand, _ time.Duration) { s.site.Endpoints[s.endpoint(r, "ledger")].Replace() }
	return []soakFault{{"ledger replaced", false, replace}, {"ledger replaced", false, replace}, {"ledger replaced", false, replace}}
}

// troubleUntil plays one trouble after the other.
func (s *soak) troubleUntil(end time.Time, r *rand.Rand, troubles []soakFault) {
	for time.Now().Before(end) {
		f := troubles[r.IntN(len(troubles))]
		from := time.Now()
		f.run(s, r, time.Duration(200+r.IntN(1800))*time.Millisecond)
		s.t.Logf("%s to %s: %s", from.Format("05.000"), time.Now().Format("05.000"), f.name)
		s.sleep(time.Duration(r.IntN(200)) * time.Millisecond)
	}
}

// changeWays partitions one VM from all endpoints, and then its peers in turn, so that its tunnels go through one after the
// other, and at last directly again.
func (s *soak) changeWays(r *rand.Rand, d time.Duration) {
	e := s.edge(r)
	modes := []string{"hang", "reset", "refuse"}
	s.setPartition(e, modes[r.IntN(len(modes))])
	defer s.setPartition(e, "none")
	for _, o := range s.edges {
		s.sleep(d / 2)
		if o == e {
			continue
		}
		s.setPartition(o, modes[r.IntN(len(modes))])
		s.sleep(d / 2)
		s.setPartition(o, "none")
	}
}

// promiseClient does jobs over kept connections until the context ends. A job whose try was promised not to run is tried
// again, at any VM.
func (s *soak) promiseClient(ctx context.Context, r *rand.Rand) []*promiseJob {
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: soakDeadline + time.Second}
	defer h.CloseIdleConnections()
	var jobs []*promiseJob
	for ctx.Err() == nil {
		j := &promiseJob{}
		path := []string{"/pay/release", "/pay/release", "/chat/x", "/look/balance", "/tell/x"}[r.IntN(5)]
		switch r.IntN(3) {
		case 0:
			j.body = "{}"
		case 1:
			j.body = strings.Repeat(fmt.Sprintf("%08x", r.Uint32()), promiseLong/8)
		}
		chunked := r.IntN(3) == 0
		for range promiseTries {
			patience := soakDeadline + time.Second
			if r.IntN(promiseImpatient) == 0 {
				patience = time.Duration(1+r.IntN(150)) * time.Millisecond
			}
			o := s.try(ctx, h, s.edge(r), path, j.body, chunked, patience)
			j.tries = append(j.tries, o)
			if !promised(o.status) || ctx.Err() != nil {
				break
			}
			s.sleep(min(o.wait, promiseWait))
		}
		jobs = append(jobs, j)
		s.sleep(time.Duration(5+r.IntN(40)) * time.Millisecond)
	}
	return jobs
}

// promised reports whether a status promises that the request has not run and never will.
func promised(status int) bool {
	return slices.Contains([]int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	}, status)
}

// try sends a job once, and leaves after a time.
func (s *soak) try(ctx context.Context, h *http.Client, e *soakEdge, path, body string, chunked bool, patience time.Duration) outcome {
	o := outcome{id: fmt.Sprintf("%08x", s.ids.Add(1)), path: path, edge: e, from: time.Now()}
	// The caller waits for the end of its last try, also when the play ends.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers()+path, bytes.NewReader([]byte(body)))
	s.c.Check(err, qt.IsNil)
	r.GetBody = nil // prevents automatic retries by the HTTP client
	if chunked && body != "" {
		r.ContentLength = -1
	}
	r.Host = ggsfakesite.Host
	r.Header.Set("Request-Id", o.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(soakDeadline.Milliseconds(), 10))
	o.receive(h, r)
	return o
}

// newScripter returns a function that draws the behaviour of an endpoint for each request.
func newScripter(r *rand.Rand) func(ggsfakesite.Query) *ggsfakesite.Script {
	const (
		mine   = "Request-Id: $ID\r\n"
		other  = "Request-Id: 0000000\r\n"
		stated = "Not-Run: 1\r\n"
		signed = "Server-Stamp: $STAMP\r\n"
		empty  = "Content-Length: 0\r\n\r\n"
		plain  = "HTTP/1.1 200 OK\r\n" + signed + mine + "Content-Length: 15\r\n\r\nwhole $ID\n"
	)
	status := func(s string) string { return "HTTP/1.1 " + s + "\r\n" }
	refused := status("503 Service Unavailable") + stated + mine + empty
	promises := []string{"503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout", "421 Misdirected Request"}
	short := func() time.Duration { return time.Duration(r.IntN(60)) * time.Millisecond }
	whole := func(path string) string {
		if strings.HasPrefix(path, "/chat") || strings.HasPrefix(path, "/tell") {
			return "HTTP/1.1 200 OK\r\n" + signed + mine + "Content-Type: text/event-stream\r\nContent-Length: 28\r\n\r\nid: 1\ndata: whole $ID\n\n"
		}
		return plain
	}
	cut := func(x *ggsfakesite.Script) *ggsfakesite.Script {
		head, _, _ := strings.Cut(x.Text, "\r\n\r\n")
		x.Text = x.Text[:r.IntN(len(head)+3)]
		x.Again, x.Close, x.Reset = "", r.IntN(2) == 0, false
		x.Reset = !x.Close
		return x
	}
	ran := func(text string) *ggsfakesite.Script { return &ggsfakesite.Script{Text: text} }
	not := func() *ggsfakesite.Script { return &ggsfakesite.Script{Text: refused, NotRun: true} }
	var mu sync.Mutex
	return func(q ggsfakesite.Query) *ggsfakesite.Script {
		mu.Lock()
		defer mu.Unlock()
		if r.Float64() < promiseSound {
			return nil
		}
		var x *ggsfakesite.Script
		switch r.IntN(14) {
		case 0, 1:
			x = not()
		case 2: // A refusal comes twice.
			x = not()
			x.Again, x.AgainAfter = refused, short()
		case 3: // A refusal of the request that ran follows its answer.
			x = ran(whole(q.Path))
			x.Again, x.AgainAfter = refused, short()
		case 4: // The answer comes twice.
			x = ran(whole(q.Path))
			x.Again, x.AgainAfter = x.Text, short()
		case 5: // A refusal of another request comes first.
			x = ran(status("503 Service Unavailable") + stated + other + empty + whole(q.Path))
		case 6:
			x = ran(status(promises[r.IntN(len(promises))]) + signed + mine + empty)
		case 7:
			x = ran(status(promises[r.IntN(len(promises))]) + stated + empty)
		case 8:
			x = cut(ran(whole(q.Path)))
		case 9: // The endpoint ran the request and breaks off in the head of something like a refusal.
			x = cut(ran(refused))
		case 10:
			x = ran("")
			x.Close = r.IntN(2) == 0
			x.Reset = !x.Close
		case 11:
			x = ran(status("500 Internal Server Error") + signed + mine + empty)
		case 12: // Later than any deadline.
			x = not()
			x.Delay = promiseBound + short()
		default:
			x = ran(whole(q.Path))
			x.Delay = promiseBound - 30*time.Millisecond + short()
		}
		if x.Delay == 0 {
			x.BeforeBody = r.IntN(3) == 0
			x.Delay = short() * time.Duration(r.IntN(2))
		}
		return x
	}
}

// checkPromises compares the answers to callers with what endpoints ran.
func (s *soak) checkPromises(jobs []*promiseJob) {
	runs := s.site.Runs()
	counts := map[int]int{}
	tries, refusedRan, ranTwice, jobsTwice := 0, 0, 0, 0
	for _, j := range jobs {
		sum := 0
		for _, o := range j.tries {
			tries++
			counts[o.status]++
			sum += runs[o.id]
			what := qt.Commentf("%s %s from %s to %s: status %d, runs %d, %q, %v", o.id, o.path, o.from.Format("05.000"), o.to.Format("05.000"),
				o.status, runs[o.id], o.body, o.err)
			if !idempotent(o.path) {
				refusedRan += count(!s.c.Check(!promised(o.status) || runs[o.id] == 0, qt.IsTrue, what))
				ranTwice += count(!s.c.Check(runs[o.id] <= 1, qt.IsTrue, what))
			}
			s.checkAnswered(o, what)
			if o.status == http.StatusOK && o.complete {
				s.c.Check(completeAnswer(o) || wholeScript(o), qt.IsTrue, what)
			}
			for id, e := range s.site.Endpoints {
				if b := e.Body(o.id); b != "" {
					s.c.Check(b == j.body, qt.IsTrue, qt.Commentf("%s got another body, %s: %s", id, difference(b, j.body), what))
				}
			}
		}
		if !idempotent(j.tries[0].path) {
			jobsTwice += count(!s.c.Check(sum <= 1, qt.IsTrue, qt.Commentf("%d runs of a job in %d tries, the last %s %s, status %d", sum, len(j.tries),
				j.tries[len(j.tries)-1].id, j.tries[0].path, j.tries[len(j.tries)-1].status)))
		}
	}
	s.t.Logf("%d jobs, %d tries by status: %v; %d tries ran after a promise, %d ran twice, %d jobs ran twice", len(jobs), tries, counts, refusedRan, ranTwice, jobsTwice)
	s.c.Check(counts[http.StatusOK] > 0, qt.IsTrue)
}

// difference says where a body differs from the one that was sent.
func difference(got, want string) string {
	const around = 80
	k := 0
	for k < min(len(got), len(want)) && got[k] == want[k] {
		k++
	}
	return fmt.Sprintf("%d bytes instead of %d, from byte %d on %q instead of %q", len(got), len(want), k,
		got[k:min(k+around, len(got))], want[k:min(k+around, len(want))])
}

// count returns one if a condition holds.
func count(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// wholeScript reports whether a body is that of a script's whole answer.
func wholeScript(o outcome) bool {
	return o.body == "whole "+o.id+"\n" || o.body == "id: 1\ndata: whole "+o.id+"\n\n"
}
