package ggsquarantine

import (
	"time"

	ggscore "greengageslip/core"
)

const (
	// usePeriod is the time for which uses are counted at least.
	usePeriod = time.Minute
	// maxCounted bounds the suspects of one generation, which callers choose.
	maxCounted = 1 << 14
)

// A useCounts counts the recent uses of suspects, in two generations.
type useCounts struct {
	current, previous map[ggscore.SuspectID]ggscore.SuspectUse
	// since is when the current generation began.
	since time.Time
}

func (c *useCounts) add(now time.Time, p ggscore.SuspectID, u ggscore.SuspectUse) {
	if c.current == nil || now.Sub(c.since) >= usePeriod || len(c.current) >= maxCounted {
		c.previous, c.current, c.since = c.current, map[ggscore.SuspectID]ggscore.SuspectUse{}, now
	}
	c.current[p] = sum(c.current[p], u)
}

// count returns the uses of the last usePeriod to twice that.
func (c *useCounts) count(now time.Time, p ggscore.SuspectID) ggscore.SuspectUse {
	switch age := now.Sub(c.since); {
	case age >= 2*usePeriod:
		return ggscore.SuspectUse{}
	case age >= usePeriod:
		return c.current[p]
	default:
		return sum(c.current[p], c.previous[p])
	}
}

func (c *useCounts) len() int { return len(c.current) + len(c.previous) }

func sum(a, b ggscore.SuspectUse) ggscore.SuspectUse {
	return ggscore.SuspectUse{Sent: a.Sent + b.Sent, Answered: a.Answered + b.Answered, Pending: a.Pending + b.Pending}
}
