package ggsplace

import (
	"fmt"
	"time"
)

// A RefusedError reports that no endpoint can take the request now.
type RefusedError struct {
	// Ready is the number of endpoints that serve the target, whether or not they have
	// capacity now.
	Ready      int
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("none of %d ready endpoints has free capacity, retry after %s", e.Ready, e.RetryAfter)
}
