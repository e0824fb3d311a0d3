package ggscore

import "context"

// A StreamOrigin is where a stream began. What endpoints of two software versions write doesn't fit
// together, so the stream can go on only at endpoints of the same service and version.
type StreamOrigin struct {
	// Request is the request whose answer had the stream's first event.
	Request  RequestID
	Service  Service
	Software SoftwareVersion
}

// An OriginReply is what one VM knows of a stream's origin and of a service's software versions.
type OriginReply struct {
	// Origin is nil if the VM has no record of the stream.
	Origin *StreamOrigin
	// Sole is the only version that the service has had for long enough, empty if the VM doesn't
	// know one. Mixed is set if it knows several at which streams that may be resumed can have begun.
	Sole  SoftwareVersion
	Mixed bool
}

// OriginPeers are the VMs that keep copies of streams' origins.
type OriginPeers interface {
	// LivePeers returns the VMs whose heartbeats arrive.
	LivePeers() []VMID
	// KnownPeers returns the number of the other VMs, live or not.
	KnownPeers() int
	// AskOrigin asks a VM what it knows of a stream's origin and of a service's software versions.
	AskOrigin(ctx context.Context, vm VMID, id RequestID, s Service) (OriginReply, error)
	// SendOrigins sends copies of records to a VM.
	SendOrigins(vm VMID, os []StreamOrigin)
}
