package ggsfakeweights

import "fmt"

// A LoadFailedError says that the store failed a load.
type LoadFailedError struct{ Adapter string }

// Error implements error.
func (e *LoadFailedError) Error() string { return fmt.Sprintf("weight store failed %s", e.Adapter) }

// A StatusError says that the store answered with another status than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("weight store answered with status %d", e.Status)
}
