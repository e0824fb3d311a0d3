package ggsplace

import (
	"fmt"
	"strings"
	"time"
)

// A RefusedError reports that no endpoint can take the request now.
type RefusedError struct {
	// Ready is the number of endpoints that serve the target, whether or not they have
	// capacity now.
	Ready      int
	Causes     RefusalCauses
	RetryAfter time.Duration
}

// RefusalCauses count the ready endpoints by what keeps the request from them.
type RefusalCauses struct {
	// Failing endpoints are excluded by their circuit breaker.
	Failing int
	// Full endpoints have as many requests in flight as they may have.
	Full int
	// Paused endpoints asked for a pause.
	Paused int
	// Limited endpoints have a rate limit, of which this VM's share is used up.
	Limited int
	// Unowned endpoints don't hold the adapter and have no owner that loads it.
	Unowned int
	// Loading endpoints don't hold the adapter, and their load queue is full.
	Loading int
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("none of %d ready endpoints has free capacity (%s), retry after %s", e.Ready, e.Causes, e.RetryAfter)
}

// String implements fmt.Stringer. It leaves out causes without an endpoint.
func (c RefusalCauses) String() string {
	var l []string
	for _, n := range []struct {
		name  string
		count int
	}{
		{"failing", c.Failing},
		{"full", c.Full},
		{"paused", c.Paused},
		{"limited", c.Limited},
		{"unowned", c.Unowned},
		{"loading", c.Loading},
	} {
		if n.count > 0 {
			l = append(l, fmt.Sprintf("%s: %d", n.name, n.count))
		}
	}
	if len(l) == 0 {
		return "no cause"
	}
	return strings.Join(l, ", ")
}
