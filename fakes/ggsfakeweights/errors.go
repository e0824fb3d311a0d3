package ggsfakeweights

import "fmt"

// A LoadFailedError reports a load that the store failed because of a fault.
type LoadFailedError struct{ Adapter string }

// Error implements error.
func (e *LoadFailedError) Error() string {
	return fmt.Sprintf("load of %s failed: simulated fault of the weight store", e.Adapter)
}

// A StatusError reports that the store answered with a status other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("load failed: weight store answered with status %d", e.Status)
}
