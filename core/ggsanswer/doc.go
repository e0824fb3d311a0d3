// Package ggsanswer decides what may be made of an endpoint's answer: whether it proves that the request has not
// run, and whether it may be forwarded.
//
// # Usage
//
//	v, err := ggsanswer.Judge(ggsanswer.Answer{Status: 503, Identified: true, StatedNotRun: true})
//	switch {
//	case err != nil:          // *InvalidError: not forwarded; the request may have run
//	case v == ggsanswer.NotRun: // the request may be sent again, or refused
//	case v == ggsanswer.Forward:
//	}
//
// A request has not run only if its endpoint says so, in an answer that names the request and in a form that
// nothing contradicts. Callers take the statuses 408, 421, 429 and 503 for the same promise, so that an answer
// which has one of them and isn't such a refusal is never forwarded.
package ggsanswer
