package forwarder

import (
	"net/http"

	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

// identity is the customer of a request by a version of the routing.
type identity struct {
	// version is that of the routing, or 0 without one.
	version uint64
	// keyed reports whether the routing has customers, and public whether the route needs none.
	keyed, public bool
	// customer is the owner of the API key of the request, or empty.
	customer declarer.Customer
}

// identify looks up the customer of a request to a route. It returns false if the request needs
// the API key of a customer and has none.
func (s *session) identify(index *declarer.RouteIndex, route declarer.HostRoute) bool {
	routing := index.Routing()
	s.identity = identity{version: routing.Version, keyed: routing.Keyed, public: route.Public}
	if !routing.Keyed {
		return true
	}
	customer, ok := index.Customer(s.forwarder.dialect.APIKey(s.r))
	s.identity.customer = customer
	return ok || route.Public
}

// apply returns the event of a new request with its customer.
func (i identity) apply(e descriptor.Arrived) descriptor.Arrived {
	e.Routing, e.Customer, e.CustomerRank = i.version, i.customer.Name, i.customer.Rank
	e.Public = i.keyed && i.public
	return e
}

// setCustomer replaces the API key in the headers of a request to a backend server by the name of
// the customer. Without customers in the routing, the headers of the caller are sent unchanged.
func (s *session) setCustomer(h http.Header) {
	if s.identity.keyed {
		s.forwarder.dialect.SetCustomer(h, s.identity.customer.Name)
	}
}

// confirmed reports whether a directory is newer than the request, so that a route or an API key
// that it lacks does not exist. A late announcement may make Current too late, which is accepted
// for routes. Where keys are strict, a key needs the proof.
func (s *session) confirmed(d *snapshot, reason descriptor.Reason) bool {
	if reason == descriptor.Unauthorized && d.Strict && d.Seen <= s.uptime {
		return false
	}
	return d.Current.After(s.started)
}
