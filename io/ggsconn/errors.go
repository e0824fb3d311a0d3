package ggsconn

// A SealedError reports that a connection rejects all writes because its request was abandoned.
type SealedError struct{}

// Error implements error.
func (e *SealedError) Error() string {
	return "write rejected: the connection was sealed after its request was abandoned"
}

// An IdleTimeoutError reports that a call was cancelled because no bytes arrived within the
// timeout.
type IdleTimeoutError struct{}

// Error implements error.
func (e *IdleTimeoutError) Error() string {
	return "call cancelled: the peer sent no bytes within the timeout"
}
