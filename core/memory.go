package ggscore

// A MemoryBudget bounds the memory that a process takes for its clients.
type MemoryBudget interface {
	// Draw takes memory until release is called, or fails if there is none left. It may close the connections of clients; release
	// only gives back, and may be called more than once.
	Draw(bytes int64) (release func(), err error)
}
