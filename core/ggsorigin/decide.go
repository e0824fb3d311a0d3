package ggsorigin

import (
	"slices"

	ggscore "greengageslip/core"
)

// Decide returns the origin of a resumed stream, given the replies of this VM and its peers. Without a
// record, the route must lead to one service, and the VMs that know its versions must agree on a sole
// one.
func Decide(route *ggscore.Route, id ggscore.RequestID, replies []ggscore.OriginReply) (ggscore.StreamOrigin, error) {
	var sole ggscore.SoftwareVersion
	contradiction := len(route.Targets) != 1
	for _, r := range replies {
		if r.Origin != nil {
			return *r.Origin, nil
		}
		if r.Mixed || r.Sole != "" && sole != "" && r.Sole != sole {
			contradiction = true
		}
		if r.Sole != "" {
			sole = r.Sole
		}
	}
	if contradiction || sole == "" {
		return ggscore.StreamOrigin{}, &UnknownError{Request: id, Route: route.Name, Asked: len(replies)}
	}
	return ggscore.StreamOrigin{Request: id, Service: route.Targets[0].Service, Software: sole}, nil
}

// Check returns a *ServiceError if a route no longer leads to the service of a stream.
func Check(r *ggscore.Route, o ggscore.StreamOrigin) error {
	if slices.ContainsFunc(r.Targets, func(t ggscore.RouteTarget) bool { return t.Service == o.Service }) {
		return nil
	}
	return &ServiceError{Route: r.Name, Origin: o}
}
