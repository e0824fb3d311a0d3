package ggsclaims

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"go.uber.org/goleak"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsclaim"
	"greengageslip/fakes/ggsfakebench"
	"greengageslip/fakes/ggsfakeplatform"
	"greengageslip/io/ggsplatform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A bench is a fake platform service with a clock that the test advances.
type bench struct {
	c        *qt.C
	clock    *ggsfakebench.Clock
	platform *ggsfakeplatform.Platform
	addr     netip.AddrPort
	ids      atomic.Uint64
}

func newBench(t testing.TB) *bench {
	t.Helper()
	b := &bench{c: qt.New(t), clock: ggsfakebench.NewClock()}
	b.platform = ggsfakebench.NewPlatform(b.clock.Now)
	b.addr = ggsfakebench.AddrOf(t, ggsfakebench.Serve(t, b.platform.Handler()))
	return b
}

// process starts a Committer that stops at the end of the test.
func (b *bench) process() *Committer { return b.processWithLog(log.NewNopLogger()) }

func (b *bench) processWithLog(l log.Logger) *Committer {
	client := ggsplatform.NewClient(b.addr)
	m := New(client, b.clock.Now, func() ggsclaim.ClaimID {
		var id ggsclaim.ClaimID
		binary.BigEndian.PutUint64(id[:], b.ids.Add(1))
		return id
	}, DefaultOptions(time.Hour), l)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	b.c.Cleanup(func() {
		cancel()
		<-done
		client.Close()
	})
	return m
}

// put writes an entry as another program may.
func (b *bench) put(k ggscore.Key, value []byte) {
	client := ggsplatform.NewClient(b.addr)
	b.c.Cleanup(client.Close)
	_, err := client.Put(ggsfakebench.Context(b.c), k, value, 0, 0)
	b.c.Assert(err, qt.IsNil)
}

func request(n int) ggscore.ClaimRequest {
	return ggscore.ClaimRequest{Market: "cr", Key: ggscore.IdempotencyKey(fmt.Sprintf("1800000000.release-%d", n))}
}

func (b *bench) begin(m *Committer, r ggscore.ClaimRequest) ggscore.ClaimDecision {
	d, err := m.Begin(ggsfakebench.Context(b.c), r)
	b.c.Assert(err, qt.IsNil)
	return d
}

// Guards against a double payment: repeats of a payment order reach three gateways
// concurrently, while the platform loses answers and applies writes late.
func TestConcurrentRepeatsAreGrantedOnce(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	const keys, repeats = 60, 3
	b.platform.SetFaults(ggsfakeplatform.Faults{
		LoseWriteAnswers: 20, DelayWrites: 20, Delay: 5 * time.Millisecond, LosePrefix: "claims/",
	})
	var granted [keys]atomic.Int32
	var g sync.WaitGroup
	for range 3 {
		m := b.process()
		for n := range keys * repeats {
			g.Go(func() {
				d, err := m.Begin(ggsfakebench.Context(b.c), request(n%keys))
				if err == nil && d.Answer == ggscore.ClaimGranted {
					granted[n%keys].Add(1)
				}
			})
		}
	}
	g.Wait()
	for n := range keys {
		b.c.Check(granted[n].Load(), qt.Equals, int32(1), qt.Commentf("key %d", n))
	}
}

// Guards against a repeat that runs again or is answered as not run. A repeat on any
// process gets the recorded answer of the first dispatch, or its outcome.
func TestRepeatGetsRecordedOutcome(t *testing.T) {
	t.Parallel()
	whole := ggscore.ClaimResult{
		Outcome: ggscore.OutcomeDone, Status: 200, ContentType: "application/json", Body: []byte(`{"paid":true}`), Whole: true,
	}
	large := whole
	large.Body = make([]byte, 4<<10)
	for name, tc := range map[string]struct {
		result ggscore.ClaimResult
		want   ggscore.ClaimDecision
	}{
		"whole answer": {whole, ggscore.ClaimDecision{Answer: ggscore.ClaimReplay, Result: whole}},
		"large answer": {large, ggscore.ClaimDecision{
			Answer: ggscore.ClaimReplay,
			Result: ggscore.ClaimResult{Outcome: ggscore.OutcomeDone, Status: 200, ContentType: "application/json"},
		}},
		"unknown outcome": {ggscore.ClaimResult{}, ggscore.ClaimDecision{Answer: ggscore.ClaimReplay}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			first, second := b.process(), b.process()
			d := b.begin(first, request(1))
			b.c.Assert(d.Answer, qt.Equals, ggscore.ClaimGranted)
			b.c.Assert(d.Before.After(b.clock.Now()), qt.IsTrue)
			b.c.Assert(b.begin(second, request(1)).Answer, qt.Equals, ggscore.ClaimInProgress)
			other := request(1)
			other.Body[0] = 1
			b.c.Assert(b.begin(second, other).Answer, qt.Equals, ggscore.ClaimReused)
			b.c.Assert(first.Finish(ggsfakebench.Context(b.c), d.ID, tc.result), qt.IsNil)
			b.c.Assert(first.Flush(ggsfakebench.Context(b.c)), qt.IsNil)
			b.c.Assert(b.begin(second, request(1)), qt.DeepEquals, tc.want)
		})
	}
}

// Guards against a key that stays claimed although nothing ran: an order refused for lack
// of a runner could then never be sent again.
func TestReleasedKeyIsGrantedAgain(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	m := b.process()
	d := b.begin(m, request(1))
	b.c.Assert(m.Finish(ggsfakebench.Context(b.c), d.ID, ggscore.ClaimResult{Outcome: ggscore.OutcomeNotRun}), qt.IsNil)
	b.c.Assert(m.Flush(ggsfakebench.Context(b.c)), qt.IsNil)
	b.c.Assert(b.begin(m, request(1)).Answer, qt.Equals, ggscore.ClaimGranted)
}

// Guards against callers that wait while the platform is unavailable, and against the
// outcome "not run" for a request that may have run before.
func TestUnavailablePlatformIsAnsweredAtOnce(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		firstSend bool
		want      ggscore.Outcome
	}{
		"first send":      {true, ggscore.OutcomeNotRun},
		"may be a repeat": {false, ggscore.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			m := b.process()
			b.platform.SetFaults(ggsfakeplatform.Faults{Outage: true})
			r := request(1)
			r.FirstSend = tc.firstSend
			for range 2 {
				_, err := m.Begin(ggsfakebench.Context(b.c), r)
				var f *ggscore.Failure
				b.c.Assert(errors.As(err, &f), qt.IsTrue)
				b.c.Assert(f.Kind, qt.Equals, ggscore.FailurePlatformUnavailable)
				b.c.Assert(f.Outcome, qt.Equals, tc.want)
				b.c.Assert(f.RetryAfter > 0, qt.IsTrue)
			}
			b.c.Assert(m.Stats().Reads, qt.Equals, uint64(1))
			b.platform.SetFaults(ggsfakeplatform.Faults{})
			b.clock.Advance(2 * time.Second)
			b.c.Assert(b.begin(m, r).Answer, qt.Equals, ggscore.ClaimGranted)
		})
	}
}

// Guards against the outcome "not run" during an outage for a key that this process has
// seen claimed. It replays a recorded answer, or reports an unknown outcome.
func TestOutageIsAnsweredFromCache(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	m := b.process()
	done := b.begin(m, request(1))
	b.begin(m, request(2))
	result := ggscore.ClaimResult{Outcome: ggscore.OutcomeDone, Status: 200, Whole: true, Body: []byte("paid")}
	b.c.Assert(m.Finish(ggsfakebench.Context(b.c), done.ID, result), qt.IsNil)
	b.c.Assert(m.Flush(ggsfakebench.Context(b.c)), qt.IsNil)
	b.platform.SetFaults(ggsfakeplatform.Faults{Outage: true})
	for range 2 {
		b.c.Assert(b.begin(m, request(1)), qt.DeepEquals, ggscore.ClaimDecision{Answer: ggscore.ClaimReplay, Result: result})
		r := request(2)
		r.FirstSend = true
		_, err := m.Begin(ggsfakebench.Context(b.c), r)
		var f *ggscore.Failure
		b.c.Assert(errors.As(err, &f), qt.IsTrue)
		b.c.Assert(f.Outcome, qt.Equals, ggscore.OutcomeUnknown)
	}
}

// Guards against a second dispatch after a claim was deleted. Keys must expire, and be
// refused, before the sweep deletes their epoch.
func TestKeysExpireBeforeTheyAreDeleted(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	m := b.process()
	b.c.Assert(b.begin(m, request(1)).Answer, qt.Equals, ggscore.ClaimGranted)
	b.c.Assert(m.Sweep(ggsfakebench.Context(b.c)), qt.IsNil)
	b.clock.Advance(time.Hour)
	b.c.Assert(m.Sweep(ggsfakebench.Context(b.c)), qt.IsNil)
	b.c.Assert(b.begin(m, request(1)).Answer, qt.Equals, ggscore.ClaimExpired)
	client := ggsplatform.NewClient(b.addr)
	b.c.Cleanup(client.Close)
	es, err := client.List(ggsfakebench.Context(b.c), "claims/")
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(es, qt.HasLen, 1)
	for range 3 {
		b.clock.Advance(time.Minute)
		b.c.Assert(m.Sweep(ggsfakebench.Context(b.c)), qt.IsNil)
	}
	es, err = client.List(ggsfakebench.Context(b.c), "claims/")
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(es, qt.HasLen, 0)
	b.c.Assert(m.Stats().Shards, qt.Equals, 0)
}

// Guards against a claim that is read from the wrong shard. A key without an issue time, or with one
// in the future, can't be assigned to its epoch and must be refused.
func TestBadKeys(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		key  ggscore.IdempotencyKey
		want ggscore.Outcome
	}{
		"no issue time":        {"release-1", ggscore.OutcomeNotRun},
		"issued in the future": {"1800000900.release-1", ggscore.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			_, err := b.process().Begin(ggsfakebench.Context(b.c), ggscore.ClaimRequest{Market: "cr", Key: tc.key})
			var f *ggscore.Failure
			b.c.Assert(errors.As(err, &f), qt.IsTrue)
			b.c.Assert(f.Kind, qt.Equals, ggscore.FailureBadRequest)
			b.c.Assert(f.Outcome, qt.Equals, tc.want)
		})
	}
}

// Guards against a corrupt shard that is treated as an outage, which would refuse all
// keys, or as an empty shard, which would grant claimed keys again.
func TestBadShardRefusesItsOwnKeysOnly(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	var logged bytes.Buffer
	m := b.processWithLog(log.NewLogfmtLogger(log.NewSyncWriter(&logged)))
	k, err := ggsclaim.ParseKey("cr", request(1).Key, time.Time{})
	b.c.Assert(err, qt.IsNil)
	b.put(shardKey(k.Slot()), []byte("bad"))
	refused := 0
	for n := range 64 {
		_, err := m.Begin(ggsfakebench.Context(b.c), request(n))
		o, perr := ggsclaim.ParseKey("cr", request(n).Key, time.Time{})
		b.c.Assert(perr, qt.IsNil)
		b.c.Assert(err != nil, qt.Equals, o.Slot() == k.Slot())
		if err != nil {
			refused++
		}
	}
	b.c.Assert(refused > 0, qt.IsTrue)
	b.c.Assert(strings.Count(logged.String(), "event=claimsUnreadable key="+string(shardKey(k.Slot()))+" "), qt.Equals, 1)
}

// Guards against claims that are never deleted once another program wrote to the sweeps' entry.
func TestOddSweptEpochIsReplaced(t *testing.T) {
	t.Parallel()
	for name, bad := range map[string][]byte{
		"too long":      bytes.Repeat([]byte{0xff}, 20),
		"in the future": binary.AppendVarint(nil, math.MaxInt64),
		"long past":     binary.AppendVarint(nil, math.MinInt64),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			var logged bytes.Buffer
			m := b.processWithLog(log.NewLogfmtLogger(log.NewSyncWriter(&logged)))
			b.c.Assert(b.begin(m, request(1)).Answer, qt.Equals, ggscore.ClaimGranted)
			b.put(sweptKey, bad)
			b.clock.Advance(time.Hour)
			for range 5 {
				b.clock.Advance(time.Minute)
				b.c.Assert(m.Sweep(ggsfakebench.Context(b.c)), qt.IsNil)
			}
			es, err := m.store.List(ggsfakebench.Context(b.c), "claims/")
			b.c.Assert(err, qt.IsNil)
			b.c.Assert(es, qt.HasLen, 0)
			b.c.Assert(strings.Count(logged.String(), "event=claimsUnreadable key=claimsSwept "), qt.Equals, 1)
		})
	}
}

func FuzzDecodeShard(f *testing.F) {
	f.Add(encodeShard(ggsclaim.NewShard(map[ggsclaim.KeyHash]ggsclaim.Claim{
		{1}: {ID: ggsclaim.ClaimID{2}, State: ggsclaim.StateDone, At: time.UnixMilli(3), Result: ggsclaim.Result{
			Status: 200, ContentType: "text/plain", Kept: true, Body: []byte("paid"),
		}},
	})))
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := decodeShard(value)
		if err != nil || len(value) == 0 {
			return
		}
		again, err := decodeShard(encodeShard(s))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.Claims, qt.DeepEquals, s.Claims)
	})
}

// BenchmarkBegin claims keys of one minute from concurrent callers of several processes.
// writes/op and reads/op are the calls of the platform's service per claim.
func BenchmarkBegin(b *testing.B) {
	for _, tc := range []struct{ processes, callers int }{{1, 1}, {1, 16}, {1, 256}, {3, 16}, {9, 16}, {9, 64}} {
		b.Run(fmt.Sprintf("processes=%d/callers=%d", tc.processes, tc.callers), func(b *testing.B) {
			k := newBench(b)
			k.platform.SetFaults(ggsfakeplatform.Faults{Slow: 3 * time.Millisecond})
			var n atomic.Int64
			var g sync.WaitGroup
			var ms []*Committer
			for range tc.processes {
				m := k.process()
				ms = append(ms, m)
				for range tc.callers {
					g.Go(func() {
						for i := n.Add(1); i <= int64(b.N); i = n.Add(1) {
							_, _ = m.Begin(context.Background(), request(int(i)))
						}
					})
				}
			}
			g.Wait()
			var all Stats
			for _, m := range ms {
				s := m.Stats()
				all.Reads += s.Reads
				all.Writes += s.Writes
				all.Conflicts += s.Conflicts
				all.Granted += s.Granted
			}
			b.ReportMetric(float64(all.Writes)/float64(b.N), "writes/op")
			b.ReportMetric(float64(all.Reads)/float64(b.N), "reads/op")
			b.ReportMetric(float64(all.Granted)/float64(b.N), "granted/op")
		})
	}
}
