// Package ggscore defines the domain of greengageslip: its types, its typed errors and the
// interfaces that the other libraries implement.
//
// # Usage
//
//	ref, err := ggscore.ParseAdapterRef("deposits-es@v2")
//	key := ggscore.KeyOf("section", "market/cr")
//	var store ggscore.Store = ggsplatform.NewClient(addr)
//
// Domain types carry no codec tags: the packages below greengageslip/io map them by hand to
// their wire formats. The packages below this one make the decisions. They are pure: they take
// the time and all events as arguments and return the actions to perform.
package ggscore
