package ggsqueue_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsqueue"
)

// Guards against a market that exceeds its share by more than one dispatch of each market, so
// that its load determines the waits of the other market's callers. Both markets always have work waiting; weights and order
// of arrival vary.
func TestSharesFollowWeights(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var c ggsqueue.Clock
		var q ggsqueue.Queue[int]
		weights := map[ggscore.Market]int{
			"cr": rapid.IntRange(1, 5).Draw(t, "cr"),
			"pa": rapid.IntRange(1, 5).Draw(t, "pa"),
		}
		c.SetWeights(weights)
		push := func(m ggscore.Market) {
			q.Push(&c, &ggsqueue.Item[int]{Share: c.Share(m)})
		}
		for range 3 {
			push("cr")
			push("pa")
		}
		served := map[*ggsqueue.Share]float64{}
		n := rapid.IntRange(1, 60).Draw(t, "dispatches")
		for range n {
			i := q.Head()
			q.Remove(i)
			c.Charge(i.Share)
			served[i.Share]++
			if i.Share == c.Share("cr") {
				push("cr")
			} else {
				push("pa")
			}
		}
		total := float64(weights["cr"] + weights["pa"])
		fair := float64(n) * float64(weights["cr"]) / total
		if got := served[c.Share("cr")]; got < fair-1.5 || got > fair+1.5 {
			t.Fatalf("cr was served %v times of %d, want %.2f", got, n, fair)
		}
	})
}

// Guards against a market that receives credit for a long idle time. Its next burst would block
// all other markets for as long.
func TestIdleMarketGetsNoCredit(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var k ggsqueue.Clock
	var q ggsqueue.Queue[string]
	for range 100 {
		k.Charge(k.Share("busy"))
	}
	for range 10 {
		q.Push(&k, &ggsqueue.Item[string]{Value: "busy", Share: k.Share("busy")})
		q.Push(&k, &ggsqueue.Item[string]{Value: "quiet", Share: k.Share("quiet")})
	}
	served := map[string]int{}
	for range 10 {
		i := q.Head()
		q.Remove(i)
		k.Charge(i.Share)
		served[i.Value]++
	}
	c.Assert(served, qt.DeepEquals, map[string]int{"busy": 5, "quiet": 5})
}

func TestClassAndDeadlineOrderWithinMarket(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var k ggsqueue.Clock
	var q ggsqueue.Queue[string]
	at := time.Unix(0, 0)
	items := []*ggsqueue.Item[string]{
		{Value: "late", Class: 1, Deadline: at.Add(3 * time.Second), Seq: 1},
		{Value: "urgent", Class: 0, Deadline: at.Add(9 * time.Second), Seq: 2},
		{Value: "soon", Class: 1, Deadline: at.Add(time.Second), Seq: 3},
		{Value: "removed", Class: 0, Deadline: at, Seq: 4},
	}
	for _, i := range items {
		i.Share = k.Share("cr")
		q.Push(&k, i)
	}
	c.Assert(q.Ahead(0), qt.Equals, 2)
	q.Remove(items[3])
	c.Assert(items[3].Queued(), qt.IsFalse)
	var order []string
	for q.Len() > 0 {
		i := q.Head()
		q.Remove(i)
		order = append(order, i.Value)
	}
	c.Assert(order, qt.DeepEquals, []string{"urgent", "soon", "late"})
}
