package ggsintake

// An InterruptedError reports that the reading of a request's body was ended, because its client made no progress while memory or
// places in flight were short.
type InterruptedError struct{}

// Error implements error.
func (*InterruptedError) Error() string {
	return "the body didn't arrive while this process was short of memory or places in flight"
}
