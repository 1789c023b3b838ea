package burdockfleet

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
)

// Route is a route of a plain service.
type Route struct {
	burdockmember.Route
	Service burdockid.Service
}

// index builds the lookup maps and lists of the snapshot.
func (s *Snapshot) index() {
	s.ByModel = map[string]burdockid.Service{}
	s.ByKeyHash = map[string]burdockid.Customer{}
	s.Members = map[burdockid.Service][]burdockmember.Upstream{}
	for name, service := range s.Services {
		for _, model := range service.Models {
			s.ByModel[model] = name
		}
		for _, route := range service.Routes {
			s.Routes = append(s.Routes, Route{Route: route, Service: name})
		}
	}
	for name, customer := range s.Customers {
		s.ByKeyHash[customer.KeyHash] = name
	}
	for _, u := range s.Upstreams {
		s.Members[u.Service] = append(s.Members[u.Service], u)
	}
	for _, members := range s.Members {
		slices.SortFunc(members, func(a, b burdockmember.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	}
	slices.SortFunc(s.Routes, func(a, b Route) int {
		return cmp.Or(
			cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
			cmp.Compare(a.PathPrefix, b.PathPrefix),
			cmp.Compare(a.Service, b.Service),
		)
	})
}

// Route returns the route of a request to a plain service. A path that an upstream could
// interpret as another one has no route, see burdockmember.Fleet.FindRoute.
func (s *Snapshot) Route(method, path string) (Route, bool) {
	if !burdockmember.IsClean(path) {
		return Route{}, false
	}
	for _, route := range s.Routes {
		if route.Matches(method, path) {
			return route, true
		}
	}
	return Route{}, false
}
