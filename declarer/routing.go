package declarer

import (
	"strings"
	"time"
)

// Part is a service that gets a share of the requests of a host route.
type Part struct {
	// Service is the name of the service.
	Service string
	// Weight is the part's weight relative to the sum of all weights of the
	// route; it is positive.
	Weight int
}

// HostRoute assigns the requests for a host and a path prefix to services. Each of
// these services has a class with the name of the route.
type HostRoute struct {
	// Host is in lower case and has no port.
	Host string
	// Path is a prefix that begins and ends with a slash.
	Path string
	// Class is the class of the requests. Its name is the name of the route and
	// is unique within a routing.
	Class Class
	// Parts is not empty.
	Parts []Part
	// Public reports whether requests need no API key although the routing requires keys.
	Public bool `json:",omitempty" cbor:",omitempty"`
}

// Customer is an account to which requests belong by their API keys.
type Customer struct {
	// Name is unique within the routing.
	Name string
	// Keys are the API keys. No two customers have one in common.
	Keys []string
	// Rank orders customers by urgency before the ranks of classes do; 0 is the most urgent.
	Rank int `json:",omitempty" cbor:",omitempty"`
	// Rate is the number of requests a second that the customer may send to all instances
	// together, and Burst the number beyond that at once. A Rate of 0 means no limit.
	Rate  float64 `json:",omitempty" cbor:",omitempty"`
	Burst float64 `json:",omitempty" cbor:",omitempty"`
}

// RequestLimits holds the limits on requests of callers.
type RequestLimits struct {
	// HeadBytes and BodyBytes are the maximum lengths of the header and the body
	// of a request in bytes; 0 means the limits of the settings.
	HeadBytes, BodyBytes int64
	// HeadTimeout is the maximum time to receive the header of a request, and
	// IdleTimeout that between two requests of a connection; 0 means the limits
	// of the settings.
	HeadTimeout, IdleTimeout time.Duration
}

// Upstream holds the settings of a service in a routing.
type Upstream struct {
	// Name is unique within the routing.
	Name string
	// HealthPath is the URL path of the health check of its backend servers.
	HealthPath string
	// Connections is the maximum number of connections that a backend server
	// accepts from all instances together; 0 means that it is unknown.
	Connections int
}

// Routing is a configuration that declares all services, routes and limits together
// under one version.
type Routing struct {
	// Version grows with each configuration; the largest one is in force.
	Version  uint64
	Routes   []HostRoute
	Services []Upstream
	Limits   RequestLimits
	// Keyed reports whether requests need the API key of a customer, unless their route is
	// public. Customers is empty if it is not set.
	Keyed     bool       `json:",omitempty" cbor:",omitempty"`
	Customers []Customer `json:",omitempty" cbor:",omitempty"`
}

// Derive returns the declarations of the services. A routing declares no floors, so
// Share is 1: ejection never removes a backend server of these services, and gray
// ones are avoided by the placement of each request instead.
func (r Routing) Derive() []Service {
	index := make(map[string]int)
	var result []Service
	indexOf := func(name string) int {
		if i, ok := index[name]; ok {
			return i
		}
		index[name] = len(result)
		result = append(result, Service{Name: name, Share: 1})
		return len(result) - 1
	}
	for _, s := range r.Services {
		result[indexOf(s.Name)].Connections = s.Connections
	}
	for _, route := range r.Routes {
		for _, p := range route.Parts {
			i := indexOf(p.Service)
			result[i].Classes = append(result[i].Classes, route.Class)
		}
	}
	return result
}

// RouteIndex is an immutable index of the routes of a routing by host and path.
type RouteIndex struct {
	routing Routing
	// hosts holds, for each host, the positions of its routes by path.
	hosts map[string]map[string]int
	// keys holds the position of the customer of each API key.
	keys map[string]int
}

// NewRouteIndex returns the index of a routing. Of several routes with the same host
// and path the first one is used.
func NewRouteIndex(r Routing) *RouteIndex {
	m := &RouteIndex{routing: r, hosts: make(map[string]map[string]int), keys: make(map[string]int)}
	for i, c := range r.Customers {
		for _, key := range c.Keys {
			m.keys[key] = i
		}
	}
	for i, route := range r.Routes {
		paths, ok := m.hosts[route.Host]
		if !ok {
			paths = make(map[string]int)
			m.hosts[route.Host] = paths
		}
		if _, ok := paths[route.Path]; !ok {
			paths[route.Path] = i
		}
	}
	return m
}

// Routing returns the indexed routing.
func (m *RouteIndex) Routing() Routing { return m.routing }

// Customer returns the customer with an API key, and false if there is none.
func (m *RouteIndex) Customer(key string) (Customer, bool) {
	i, ok := m.keys[key]
	if !ok {
		return Customer{}, false
	}
	return m.routing.Customers[i], true
}

// Match returns the route of the host whose path is the longest prefix of the path
// of a request. A port in host is ignored.
func (m *RouteIndex) Match(host, path string) (HostRoute, bool) {
	name, _, _ := strings.Cut(host, ":")
	paths, ok := m.hosts[strings.ToLower(name)]
	if !ok {
		return HostRoute{}, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if i, ok := paths[path[:end+1]]; ok {
			return m.routing.Routes[i], true
		}
	}
	return HostRoute{}, false
}

// ChooseService returns the name of the service that gets the n-th request of the
// route. The services reach their shares within a few requests.
func (r HostRoute) ChooseService(n uint64) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	// The multiples of the golden ratio, modulo one, are evenly distributed.
	point := float64(n*goldenStep>>11) / (1 << 53) * float64(total)
	for _, p := range r.Parts {
		point -= float64(p.Weight)
		if point < 0 {
			return p.Service
		}
	}
	return r.Parts[len(r.Parts)-1].Service
}

// goldenStep is 2^64 divided by the golden ratio, rounded to an odd number.
const goldenStep = 0x9e3779b97f4a7c15
