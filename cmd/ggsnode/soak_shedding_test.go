package ggsnode_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// soakShedNotice is the time from which shed-limited endpoints queue nothing.
	soakShedNotice = 3 * time.Second
	soakShedTime   = soakShedNotice + 4*time.Second
	// soakShedSlots are the slots of a ledger, and soakShedClients the clients that together have more
	// requests than all of them.
	soakShedSlots    = 3
	soakShedClients  = 10
	soakShedWork     = 100 * time.Millisecond
	soakShedRefusals = 6
)

// A soakShed is a period in which the ledgers were shed-limited. Falls is how often they fell over.
type soakShed struct {
	span
	falls int
}

// limitShedding makes the ledgers shed-limited, under a load above their slots.
func (s *soak) limitShedding(r *rand.Rand, _ time.Duration) {
	if !s.shedding.CompareAndSwap(false, true) {
		return
	}
	defer s.shedding.Store(false)
	k := soakShed{span: span{from: time.Now()}}
	before := s.falls()
	for id, e := range s.site.Endpoints {
		if strings.HasPrefix(id, "ledger") {
			e.AnnounceBrittle(soakShedRefusals, soakShedWork, soakShedNotice)
			defer e.SetBrittle(0, 0)
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, soakShedTime)
	defer cancel()
	var clients sync.WaitGroup
	for range soakShedClients {
		seed := r.Uint64()
		clients.Go(func() { s.clientOf(ctx, rand.New(rand.NewPCG(seed, 0)), "/pay/release", "/look/balance") })
	}
	clients.Wait()
	k.to, k.falls = time.Now(), s.falls()-before
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sheds = append(s.sheds, k)
}

// falls returns how often the endpoints fell over.
func (s *soak) falls() int {
	n := 0
	for _, e := range s.site.Endpoints {
		n += e.Falls()
	}
	return n
}

// checkSheds checks that shed-limited endpoints fell over no more often than they may.
func (s *soak) checkSheds() {
	for _, k := range s.sheds {
		s.t.Logf("shed-limited from %s to %s: fell over %d times", k.from.Format("05.000"), k.to.Format("05.000"), k.falls)
		s.c.Check(k.falls <= 2, qt.IsTrue, qt.Commentf("shed-limited endpoints fell over %d times", k.falls))
	}
}
