package ggsshare

import ggscore "greengageslip/core"

// An OrderKind says what an Order asks for.
type OrderKind int

// The kinds of orders.
const (
	// OrderList reads all units' records.
	OrderList OrderKind = iota
	// OrderPut writes a unit's record under Lease, if it has revision Prev.
	OrderPut
	// OrderDelete deletes a unit's record, if it has revision Prev.
	OrderDelete
)

// An Order is one call of the platform's service.
type Order struct {
	Kind  OrderKind
	Unit  Unit
	Prev  ggscore.StoreRevision
	Lease ggscore.LeaseID
	// Holder is the record's value.
	Holder ggscore.VMID
}

// A Record is a unit's record as it was read.
type Record struct {
	Unit     Unit
	Revision ggscore.StoreRevision
	Lease    ggscore.LeaseID
}

// A Result is how a call ended.
type Result int

// The results of calls.
const (
	ResultDone Result = iota
	// ResultRefused means that the call had no effect.
	ResultRefused
	// ResultUnknown means that it may have had, or may yet have.
	ResultUnknown
)
