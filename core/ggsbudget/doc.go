// Package ggsbudget decides how much of a process's memory, connections and places in flight its clients may take, and which
// clients have to give theirs back while these are short.
//
// # Usage
//
//	t := ggsbudget.NewTable(limits)
//	h, victims, err := t.Open(now, class)    // a connection was accepted, and isn't read yet
//	t.Wait(now, h, ggsbudget.WaitHead)       // the process waits for the client
//	t.Advance(now, h, n)                     // the client sent or read bytes
//	victims, err = t.Draw(now, h, KindHead, n) // before memory is taken
//	victims, err = t.Begin(now, h)           // a request takes a place in flight
//	t.Work(h)                                // the process doesn't wait for the client
//	t.End(h)                                 // the request has ended, with what was drawn for it
//	t.Close(h)
//
// The caller closes the connections of the victims at once, but for those whose Interrupted is set: their requests are refused.
//
// # Who gives way
//
// A client is a victim only while something is short, and only while the process waits for it: for the rest of a head or body, or
// for the client to read an answer. The client that has made no progress for longest goes first. An idle connection that has
// served a request goes last, and only for a new connection. Bytes count as progress once they are enough to be no trickle.
//
// Bodies may take less than the whole memory, so that connections and heads of others fit beside them.
//
// A Table has no clock, no goroutine and no lock.
package ggsbudget
