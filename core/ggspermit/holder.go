package ggspermit

import (
	"cmp"
	"slices"
	"time"

	ggscore "greengageslip/core"
)

const (
	// MaxWait bounds the time that a request can wait for a permit.
	MaxWait = time.Second
	// maxDecisionAge is the time after the first ask from which a decision isn't used. A request that is
	// sent then is renewed before its permit expires.
	maxDecisionAge = 1500 * time.Millisecond
	// settleInterval is the time between renewals that make up for lost releases.
	settleInterval = 300 * time.Millisecond
	// adoptInterval is the time after which the renewal for a new issuer is repeated, as it may have been
	// lost.
	adoptInterval = 300 * time.Millisecond
	// askAgainShare is the share of a refusal's retry-after time after which a VM asks again.
	askAgainShare = 0.25
)

// A Holder knows this VM's requests in flight and the issuers of their permits.
type Holder struct {
	self     ggscore.VMID
	last     uint64
	requests map[uint64]*request
	// unsettled are the endpoints with releases that may have been lost, and when the first was sent.
	unsettled map[ggscore.EndpointID]time.Time
}

type request struct {
	endpoint ggscore.EndpointID
	// issuer is the VM that counts the request, empty for none. renewed is when it was first asked for a
	// permit, or last learned of the request.
	issuer  ggscore.VMID
	renewed time.Time
	// inFlight is set once the request may have been sent.
	inFlight bool
}

// A Renewal is to be sent to an issuer.
type Renewal struct {
	Issuer ggscore.VMID
	ggscore.PermitRenewal
}

// NewHolder returns a Holder of a VM. Numbers of requests begin after the seed, which must be greater than
// the numbers of the VM's previous processes.
func NewHolder(self ggscore.VMID, seed uint64) *Holder {
	return &Holder{self: self, last: seed, requests: map[uint64]*request{}, unsettled: map[ggscore.EndpointID]time.Time{}}
}

// Begin records that a request is about to be sent to an endpoint.
func (h *Holder) Begin(id ggscore.EndpointID) ggscore.PermitID {
	h.last++
	h.requests[h.last] = &request{endpoint: id}
	return ggscore.PermitID{VM: h.self, Number: h.last}
}

// Asked records that an issuer is asked for a permit for the request.
func (h *Holder) Asked(now time.Time, id ggscore.PermitID, issuer ggscore.VMID) {
	if r := h.requests[id.Number]; r != nil {
		r.issuer, r.renewed = issuer, now
	}
}

// Granted reports whether a permit that was granted may be used. One that arrives long after the first ask,
// because a VM was suspended, may have expired.
func (h *Holder) Granted(now time.Time, id ggscore.PermitID) bool {
	r := h.requests[id.Number]
	return r != nil && now.Sub(r.renewed) < maxDecisionAge
}

// Sent records that the request is being sent.
func (h *Holder) Sent(now time.Time, id ggscore.PermitID) {
	if r := h.requests[id.Number]; r != nil {
		r.inFlight, r.renewed = true, now
	}
}

// Holds reports whether a request has not ended.
func (h *Holder) Holds(id ggscore.PermitID) bool {
	return id.VM == h.self && h.requests[id.Number] != nil
}

// End records that a request has ended, or wasn't sent. It returns the issuer that counts the request,
// empty for none.
func (h *Holder) End(now time.Time, id ggscore.PermitID) ggscore.VMID {
	r := h.requests[id.Number]
	if r == nil {
		return ""
	}
	delete(h.requests, id.Number)
	if _, ok := h.unsettled[r.endpoint]; r.issuer != "" && !ok {
		h.unsettled[r.endpoint] = now
	}
	return r.issuer
}

// Renewals returns the renewals that are due: of endpoints with permits that were last renewed RenewInterval
// ago, with requests whose issuer has changed, or with releases since the last renewal. issuerOf returns the
// issuer for an endpoint, empty for an endpoint that isn't shed-limited.
func (h *Holder) Renewals(now time.Time, issuerOf func(ggscore.EndpointID) ggscore.VMID) []Renewal {
	issuers, due := map[ggscore.EndpointID]ggscore.VMID{}, map[ggscore.EndpointID]bool{}
	for id, since := range h.unsettled {
		if now.Sub(since) >= settleInterval {
			issuers[id], due[id] = issuerOf(id), true
			delete(h.unsettled, id)
		}
	}
	for _, r := range h.requests {
		if !r.inFlight || due[r.endpoint] {
			continue
		}
		issuer, ok := issuers[r.endpoint]
		if !ok {
			issuer = issuerOf(r.endpoint)
			issuers[r.endpoint] = issuer
		}
		due[r.endpoint] = issuer != r.issuer || now.Sub(r.renewed) >= RenewInterval
	}
	var rs []Renewal
	for id, issuer := range issuers {
		if due[id] && issuer != "" {
			rs = append(rs, Renewal{Issuer: issuer, PermitRenewal: h.renew(now, id, issuer)})
		}
	}
	slices.SortFunc(rs, func(a, b Renewal) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return rs
}

// renew returns the renewal of all requests at an endpoint.
func (h *Holder) renew(now time.Time, id ggscore.EndpointID, issuer ggscore.VMID) ggscore.PermitRenewal {
	v := ggscore.PermitRenewal{VM: h.self, Endpoint: id, Through: h.last}
	for n, r := range h.requests {
		switch {
		case r.endpoint != id:
		case r.inFlight:
			if r.renewed = now; r.issuer != issuer {
				r.renewed = now.Add(adoptInterval - RenewInterval)
			}
			r.issuer = issuer
			v.InFlight = append(v.InFlight, n)
		default:
			v.Asking = append(v.Asking, n)
		}
	}
	slices.Sort(v.InFlight)
	slices.Sort(v.Asking)
	return v
}

// AskAgainAfter returns the time after a refusal for which a VM asks for no permit of the endpoint. It is
// shorter than the time until a slot is expected to be free, so that asks wait when slots become free.
func AskAgainAfter(d ggscore.PermitDecision) time.Duration {
	return time.Duration(askAgainShare * float64(d.RetryAfter))
}
