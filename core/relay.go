package ggscore

// A Relay is how far the receiver relays a VM's gossip message.
type Relay int

// The ranges of relaying. Each includes the ones before it.
const (
	// RelayNone messages aren't relayed.
	RelayNone Relay = iota
	// RelayDomain messages are relayed to the VMs of the receiver's failure domain.
	RelayDomain
	// RelayDomains messages are also relayed to the other failure domains of the receiver's
	// region.
	RelayDomains
	// RelayRegions messages are also relayed to the other regions.
	RelayRegions
)
