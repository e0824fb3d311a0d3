package ggscore

// A MemoryBudget bounds the memory that a process takes for its clients.
type MemoryBudget interface {
	// Draw takes memory until release is called, or fails if there is none left.
	Draw(bytes int64) (release func(), err error)
}
