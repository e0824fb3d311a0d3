package ggsgateway

import "fmt"

// A PieceOrderError says that a piece of an answer came out of its order.
type PieceOrderError struct {
	Want int
	Have int
}

// Error implements error.
func (e *PieceOrderError) Error() string {
	return fmt.Sprintf("piece %d of the answer came where %d was due", e.Have, e.Want)
}
