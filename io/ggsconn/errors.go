package ggsconn

// A SealedError says that a connection takes no more writes, since the request
// that it carried was given up.
type SealedError struct{}

// Error implements error.
func (e *SealedError) Error() string { return "connection sealed after its request was given up" }

// A SilentError says that a call was ended because its peer was silent.
type SilentError struct{}

// Error implements error.
func (e *SilentError) Error() string { return "the peer was silent" }
