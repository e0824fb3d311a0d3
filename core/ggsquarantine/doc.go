// Package ggsquarantine decides which requests are kept from endpoints because a part of their prompts
// crashes the endpoints that begin to answer them.
//
// Inputs are requests that are sent, answered, or break off as their answer begins, and peers' reports of
// them. Outputs are the parts in quarantine, and the reports to peers.
//
// # Usage
//
//	t := ggsquarantine.NewTable(vm)
//	report := t.RecordCrash(now, endpoint, startedAt, parts) // send it to the peers
//	t.RecordSent(now, parts)
//	t.RecordEnded(parts)
//	t.RecordAnswer(now, parts)
//	reply := t.ObserveReport(now, report)                    // send it to the peers if it has uses
//	err := t.Check(now, parts)                               // *QuarantinedError: refuse, not run
//	ok := t.Suspected(now, parts)                            // don't send such a request a second time
//
//	parts := t.Unrecorded(now)                               // write a record of each to the store
//	t.ObserveRecords(now, records)                           // all records in the store
//	expired := t.Expired(now)                                // delete these records
//
// Every request that was under way at a crash is a suspect, and most are innocent. What distinguishes
// the part that crashes endpoints is that its requests crash one process after the other and are hardly
// ever answered. A part is in quarantine if minCrashes processes crashed under it that no single likelier
// part explains, and if its answers at all VMs are less than answersPerCrash times as many. The likelier
// of two parts has fewer answers for each crash, or else more crashes, or else fewer requests: a part that
// all requests share is answered, and one of a few requests is in few crashes.
//
// Crashes are reported to all peers, because requests with the part arrive at any VM. Each VM reports
// its uses of a part when the last crash but one is reported, so that a part which is sound elsewhere
// isn't kept out. A part that stays in quarantine for confirmTime is recorded in the store, for VMs
// that restart.
//
// A Table has no clock, goroutine or lock of its own; the caller passes times and serializes access.
package ggsquarantine
