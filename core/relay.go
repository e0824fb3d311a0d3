package ggscore

// A Relay says how far the receiver of a VM's word passes it on.
type Relay int

// The reaches of a word. Each includes those before it.
const (
	// RelayNone is a word that is passed on to nobody.
	RelayNone Relay = iota
	// RelayDomain is passed on to the VMs of the receiver's failure domain.
	RelayDomain
	// RelayDomains is also passed on to the other failure domains of its region.
	RelayDomains
	// RelayRegions is also passed on to the other regions.
	RelayRegions
)
