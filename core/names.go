package ggscore

import "strings"

// A Market names one market of the operators' document.
type Market string

// A Service names a service, either a model service or a plain one.
type Service string

// A Domain names a failure domain: VMs and endpoints of one region that can be
// cut off together.
type Domain string

// A Region names a part of the deployment. Traffic between regions is bounded
// and has a price.
type Region string

// A VMID names a VM.
type VMID string

// An EndpointID names an endpoint: a runner or a plain service's instance.
type EndpointID string

// A RequestID names one request inside the system. It is unique for ever.
type RequestID string

// A BaseModel names what a runner serves and an adapter is made for.
type BaseModel string

// A Version names an immutable version of an adapter.
type Version string

// An AdapterRef names an adapter at one version.
type AdapterRef struct {
	Name    string
	Version Version
}

// ParseAdapterRef parses "name@version"; the version may be missing.
func ParseAdapterRef(s string) (AdapterRef, error) {
	n, v, found := strings.Cut(s, "@")
	if n == "" || (found && v == "") || strings.Contains(v, "@") {
		return AdapterRef{}, &BadAdapterRefError{Text: s}
	}
	return AdapterRef{Name: n, Version: Version(v)}, nil
}

// IsZero reports whether r names nothing.
func (r AdapterRef) IsZero() bool { return r == AdapterRef{} }

// String returns "name@version", or the name alone where no version is set.
func (r AdapterRef) String() string {
	if r.Version == "" {
		return r.Name
	}
	return r.Name + "@" + string(r.Version)
}
