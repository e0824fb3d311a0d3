package ggsfakeengine

// A brokenError says that a run ended before its answer did.
type brokenError struct{ reason string }

// Error implements error.
func (e *brokenError) Error() string { return "run broken: " + e.reason }

type refusal struct {
	status  int
	kind    string
	outcome string
	detail  string
	seen    uint64
}

// Error implements error.
func (e *refusal) Error() string { return e.kind + ": " + e.detail }
