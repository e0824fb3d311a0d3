package ggscore

import "strings"

// A Market names one market of the operators' document.
type Market string

// A Service names a service, either a model service or a plain one.
type Service string

// A Domain names a failure domain: VMs and endpoints of one region that can be
// cut off together.
type Domain string

// A Region names a region of the deployment. Traffic between regions is limited and has a cost.
type Region string

// A VMID names a VM.
type VMID string

// An EndpointID names an endpoint: a runner or a plain service's instance.
type EndpointID string

// A SoftwareVersion names the version of an endpoint's software. It says nothing about the weights
// that the endpoint serves.
type SoftwareVersion string

// A PromptPart identifies a part of a prompt by its content.
type PromptPart string

// A Fingerprint identifies a request by its content. It is the same for all tries of one request.
type Fingerprint string

// A RequestID identifies one request inside the system. It is never reused.
type RequestID string

// A BaseModel names a base model that runners serve and adapters extend.
type BaseModel string

// A Version names an immutable version of an adapter.
type Version string

// An AdapterRef names an adapter at one version.
type AdapterRef struct {
	Name    string
	Version Version
}

// ParseAdapterRef parses "name" or "name@version".
func ParseAdapterRef(s string) (AdapterRef, error) {
	n, v, found := strings.Cut(s, "@")
	if n == "" || (found && v == "") || strings.Contains(v, "@") {
		return AdapterRef{}, &BadAdapterRefError{Text: s}
	}
	return AdapterRef{Name: n, Version: Version(v)}, nil
}

// IsZero reports whether r is the zero reference.
func (r AdapterRef) IsZero() bool { return r == AdapterRef{} }

// String returns "name@version", or the name alone if no version is set.
func (r AdapterRef) String() string {
	if r.Version == "" {
		return r.Name
	}
	return r.Name + "@" + string(r.Version)
}
