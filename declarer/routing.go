package declarer

import (
	"strings"
	"time"
)

// Part is a service that gets some of the requests of a host route.
type Part struct {
	// Service is the name of the service.
	Service string
	// Weight is the part's share among all weights of the route; it is positive.
	Weight int
}

// HostRoute assigns the requests for a host below a path to services. Its name
// is that of a class of each of these services.
type HostRoute struct {
	// Host is in lower case and has no port.
	Host string
	// Path is a prefix that begins and ends with a slash.
	Path string
	// Class has the name of the route, which is unique within a routing.
	Class Class
	// Parts is not empty.
	Parts []Part
}

// Intake bounds what callers may send.
type Intake struct {
	// HeadBytes and BodyBytes bound the head and the body of a request; 0 means
	// the limits of the settings.
	HeadBytes, BodyBytes int64
	// HeadTimeout bounds the time for the head of a request and IdleTimeout that
	// between requests of a connection; 0 means the limits of the settings.
	HeadTimeout, IdleTimeout time.Duration
}

// Upstream is what a routing says of a service.
type Upstream struct {
	// Name is unique within the routing.
	Name string
	// HealthPath is where its backend servers answer health checks.
	HealthPath string
	// Connections is how many connections a backend server accepts from all
	// instances together; 0 means that it is not known.
	Connections int
}

// Routing is a configuration that declares all services, routes and limits at
// once, under one version.
type Routing struct {
	// Version orders configurations; the largest one is in force.
	Version  uint64
	Routes   []HostRoute
	Services []Upstream
	Limits   Intake
}

// Derive returns the declarations of the services. A routing has no floors of
// its own: ejection leaves every backend server of a service, and how work
// avoids gray ones is up to the placement of each request.
func (r Routing) Derive() []Service {
	index := make(map[string]int)
	var result []Service
	at := func(name string) int {
		if i, ok := index[name]; ok {
			return i
		}
		index[name] = len(result)
		result = append(result, Service{Name: name, Share: 1})
		return len(result) - 1
	}
	for _, s := range r.Services {
		result[at(s.Name)].Connections = s.Connections
	}
	for _, route := range r.Routes {
		for _, p := range route.Parts {
			i := at(p.Service)
			result[i].Classes = append(result[i].Classes, route.Class)
		}
	}
	return result
}

// Map finds the route of a request. It is immutable.
type Map struct {
	routing Routing
	// hosts holds the routes of each host by path.
	hosts map[string]map[string]int
}

// NewMap returns the index of a routing. Of two routes with one host and path
// the first counts.
func NewMap(r Routing) *Map {
	m := &Map{routing: r, hosts: make(map[string]map[string]int)}
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

// Routing returns what the map was made from.
func (m *Map) Routing() Routing { return m.routing }

// Match returns the route with the longest path that begins the path of a
// request. A port in host is passed over.
func (m *Map) Match(host, path string) (HostRoute, bool) {
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

// Choose returns the part of a route that gets its n-th request, so that the
// parts get their shares within a few requests.
func (r HostRoute) Choose(n uint64) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	// Multiples of the golden ratio, modulo one, spread evenly.
	point := float64(n*goldenStep>>11) / (1 << 53) * float64(total)
	for _, p := range r.Parts {
		point -= float64(p.Weight)
		if point < 0 {
			return p.Service
		}
	}
	return r.Parts[len(r.Parts)-1].Service
}

// goldenStep is 2^64 divided by the golden ratio, made odd.
const goldenStep = 0x9e3779b97f4a7c15
