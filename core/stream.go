package ggscore

// A StreamOrigin is where a stream began. What endpoints of two software versions write doesn't fit
// together, so the stream can go on only at endpoints of the same service and version.
type StreamOrigin struct {
	// Request is the request whose answer had the stream's first event.
	Request  RequestID
	Service  Service
	Software SoftwareVersion
}
