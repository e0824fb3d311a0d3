package ggsplace

import (
	"fmt"
	"time"
)

// A RefusedError says that no endpoint can take a request now.
type RefusedError struct {
	// Ready is the number of endpoints that could run it.
	Ready      int
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("none of %d endpoints has room, retry after %s", e.Ready, e.RetryAfter)
}
