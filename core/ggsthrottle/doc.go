// Package ggsthrottle keeps the rate limits that endpoints name in their answers.
//
// # Usage
//
//	t := ggsthrottle.NewTable()
//	changed := t.Observe(id, limit, asOf) // an answer came
//	limit := t.Limit(id)
//	t.Remove(id) // the endpoint is gone
//
// The package holds no clock, no goroutine and no lock.
package ggsthrottle
