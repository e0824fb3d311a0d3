package main

import "fmt"

// A usageError reports an invalid command line.
type usageError struct{ detail string }

// Error implements error.
func (e *usageError) Error() string { return e.detail }

// A wrongAnswersError reports that a run had wrong answers.
type wrongAnswersError struct {
	count int
	first string
}

// Error implements error.
func (e *wrongAnswersError) Error() string {
	return fmt.Sprintf("%d wrong answers, the first: %s", e.count, e.first)
}

// A noAnswersError reports that no request of a run was done.
type noAnswersError struct{ sent int }

// Error implements error.
func (e *noAnswersError) Error() string {
	return fmt.Sprintf("no request was done: %d sent", e.sent)
}

// A wrongAnswerError describes what is wrong with an answer.
type wrongAnswerError struct{ detail string }

// Error implements error.
func (e *wrongAnswerError) Error() string { return e.detail }
