// Package ggsquarantine decides which requests are kept from endpoints because they crash the endpoints that
// run them.
//
// Inputs are requests that are sent, answered, or broken off by a crash, and peers' reports of them. Outputs
// are the suspects in quarantine, and the reports to peers. A suspect is what requests have in common: a part
// of their prompts, or that they are tries of one request.
//
// # Usage
//
//	t := ggsquarantine.NewTable(vm)
//	report := t.RecordCrash(now, broken)      // send it to the peers
//	t.RecordAbandoned(now, sentAt, broken)    // the caller left, or its time was over
//	report = t.RecordGone(now, id, startedAt) // send it to the peers
//	report = t.RecordDown(now, id)            // send it to the peers
//	t.RecordSent(now, suspects)
//	t.RecordEnded(suspects)
//	report = t.ReportTries(now, suspects)     // after these three; send it to the peers unless it is empty
//	t.RecordAnswer(now, suspects...)
//	report = t.RecordAnswered(now, id, sentAt)
//	report = t.RecordAnsweredOver(now, id, opened, sentAt) // withdraws crashes that were none
//	report = t.RecordProcess(now, id, startedAt, askedAt)  // the same
//	reply := t.ObserveReport(now, report)     // send it to the peers unless it is empty
//	err := t.Check(now, suspects, queued)     // *QuarantinedError: refuse, not run
//	ok := t.Suspected(now, suspects)          // don't send such a request a second time
//	reports := t.Known(now)                   // for a VM that starts, which observes each
//	reports = t.KnownRepeated(now)            // for a VM that missed reports
//
//	t.Advance(now)                            // from time to time
//	suspects := t.Unrecorded(now)             // write a record of each to the store
//	t.ObserveRecords(now, records)            // all records in the store
//	expired := t.Expired(now)                 // delete these records
//	suspects = t.Changed()                    // write the records of these again
//
//	ok = t.HalfOpen(now, suspect)             // claim the try in the store, then
//	t.RecordTry(now, suspect)
//	t.Release(now, suspect)                   // it was answered
//
// A suspect is in quarantine if minCrashes processes crashed under it, and if its answers at all VMs are less
// than answersPerCrash times as many.
//
// Every request that was under way at a crash has parts that are suspects, and most are innocent. What
// distinguishes the part that crashes endpoints is that its requests crash one process after the other and are
// hardly ever answered. So a part's crashes count only as far as no single likelier suspect explains them. The
// likelier of two suspects has fewer answers for each crash, or else more crashes, or else fewer requests: a
// part that all requests share is answered, and one of a few requests is in few crashes. A request that
// crashes endpoints explains the crashes under its parts unless others crash endpoints under them as well.
//
// Tries of a request under which an endpoint crashed may each crash another one before the VMs know of it. So all VMs
// together send as many tries at a time as there may still be crashes. A try that was given up counts as under way
// until its endpoint is known to have survived it or to be gone.
//
// A request's own crashes count whatever else was under way: its answers would end the suspicion, and its
// caller has sent it in vain three times.
//
// Where other requests that crashed endpoints repeatedly explain each of the crashes, it may be sound all the same: a single
// half-open try at a time, over all VMs, is allowed after a while. Its answer ends the quarantine at all VMs, and another crash
// ends the doubt.
//
// An endpoint may work on a request after the VM has given it up. If other connections show that the endpoint
// crashed, it crashed under the requests that were given up shortly before, too. An endpoint that falls silent
// breaks off nothing: it counts as crashed under those after which it answered no other, once it is gone without
// having announced it.
//
// The end of a connection counts as that of its endpoint's process, as a caller's next try may come before anything else
// is known. It is withdrawn, at all VMs, once the process is known to live on: it answers over a connection that is
// older, or names the start that this VM knew. A withdrawn crash is remembered, because VMs that don't know of the
// withdrawal yet report it again; a later crash of the process is distinguished by the time at which it lived.
//
// Crashes are reported to all peers, because tries of a request and requests with a part arrive at any VM.
// Each VM reports its uses of a suspect when the last crash but one is reported, so that a suspect which is
// sound elsewhere isn't kept out. Reports of a request's crash repeat its earlier ones, which peers may have
// missed, and a VM that reports a crash under a suspect in quarantine learns of the others. A VM that starts asks
// peers for what they know. A suspect that stays in quarantine for a time is recorded in the store, for VMs that
// restart together.
//
// Callers choose fingerprints and the IDs of parts; all tables are bounded.
//
// A Table has no clock, goroutine or lock of its own; the caller passes times and serializes access.
package ggsquarantine
