package ggsshare

import ggscore "greengageslip/core"

// An OrderKind is the call that an Order requests.
type OrderKind int

// Kinds of orders.
const (
	// OrderList reads all units' records.
	OrderList OrderKind = iota
	// OrderPut writes a unit's record under Lease if its revision is Prev; zero means no record.
	OrderPut
	// OrderDelete deletes a unit's record if its revision is Prev.
	OrderDelete
)

// An Order is one call to the platform's key-value service that the caller of this package makes.
type Order struct {
	Kind  OrderKind
	Unit  Unit
	Prev  ggscore.StoreRevision
	Lease ggscore.LeaseID
	// Holder is the value of the record.
	Holder ggscore.VMID
}

// A Record is a unit's record as read from the platform.
type Record struct {
	Unit     Unit
	Revision ggscore.StoreRevision
	Lease    ggscore.LeaseID
}

// A Result is the outcome of a call.
type Result int

// Results of calls.
const (
	ResultDone Result = iota
	// ResultRefused means that the call had no effect.
	ResultRefused
	// ResultUnknown means that the call may have had an effect, or may still have one.
	ResultUnknown
)
