package main

import "fmt"

// A usageError says that the command line is wrong.
type usageError struct{ detail string }

// Error implements error.
func (e *usageError) Error() string { return e.detail }

// A wrongAnswersError says that answers were not what they had to be.
type wrongAnswersError struct {
	count int
	first string
}

// Error implements error.
func (e *wrongAnswersError) Error() string {
	return fmt.Sprintf("%d wrong answers, the first: %s", e.count, e.first)
}

// A noAnswersError says that no request was answered.
type noAnswersError struct{ sent int }

// Error implements error.
func (e *noAnswersError) Error() string {
	return fmt.Sprintf("none of %d requests was done", e.sent)
}

// A wrongAnswerError says what is wrong with an answer.
type wrongAnswerError struct{ detail string }

// Error implements error.
func (e *wrongAnswerError) Error() string { return e.detail }
