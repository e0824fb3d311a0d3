// Package ggscore holds the domain of greengageslip: its types, its typed
// errors and the interfaces that the other libraries implement.
//
// # Usage
//
//	ref, err := ggscore.ParseAdapterRef("deposits-es@v2")
//	key := ggscore.KeyOf("section", "market/cr")
//	var store ggscore.Store = ggsplatform.NewClient(addr)
//
// Domain types carry no codec tags: the packages below greengageslip/io map
// them by hand to their wire forms. Decisions stand in packages below this
// one; they are pure, so the time and all events come in as arguments and
// orders come out.
package ggscore
