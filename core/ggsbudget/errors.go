package ggsbudget

import "fmt"

// A FullError reports that clients already have all that they may take of a resource.
type FullError struct {
	Resource Resource
	Limit    int64
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("%s for clients exhausted: the limit of this process is %d", e.Resource, e.Limit)
}

// A Resource is what clients take of a process.
type Resource int

// The resources.
const (
	// ResourceMemory is memory in bytes.
	ResourceMemory Resource = iota
	ResourceConns
	ResourceRequests
)

// String implements fmt.Stringer.
func (r Resource) String() string {
	switch r {
	case ResourceMemory:
		return "memory"
	case ResourceConns:
		return "connections"
	case ResourceRequests:
		return "requests in flight"
	}
	return fmt.Sprintf("Resource(%d)", int(r))
}
