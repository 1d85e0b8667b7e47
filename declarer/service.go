// Package declarer defines the declarations of operators: services with their
// classes of work, target latencies, routes and floors. It parses and checks them.
package declarer

import (
	"math"
	"strings"
	"time"
)

// State is the lifecycle state of a service.
type State int

// States of a service.
const (
	Open State = iota
	Closing
	Closed
)

// String returns the name used in declarations.
func (s State) String() string {
	switch s {
	case Closing:
		return "closing"
	case Closed:
		return "closed"
	}
	return "open"
}

// Class is one kind of work of a service.
type Class struct {
	// Name is unique within the service.
	Name string
	// Target is the target latency of the class; it is positive.
	Target time.Duration
	// Idempotent reports whether work of the class may run more than once.
	Idempotent bool
	// Long is set for work that takes long. It gets a limited share of the slots
	// and is not aborted once it has started.
	Long bool
	// Keyless reports whether non-idempotent work is admitted without an
	// idempotency key.
	Keyless bool
	// Timeout is the maximum time that a caller waits for a response; 0 means
	// that only the caller's deadline applies.
	Timeout time.Duration `json:",omitempty" cbor:",omitempty"`
	// Rank orders classes by urgency; 0 is the most urgent.
	Rank int `json:",omitempty" cbor:",omitempty"`
	// Attempts is the maximum number of backend servers that one request is sent
	// to; 0 means the general limit.
	Attempts int `json:",omitempty" cbor:",omitempty"`
}

// Route assigns requests to a class by method and path prefix.
type Route struct {
	// Name is unique within the service.
	Name string
	// Methods lists upper-case HTTP methods; empty means every method.
	Methods []string
	// Path is a prefix that begins with a slash.
	Path string
	// Class is the name of a class of the same service.
	Class string
}

// Service is one declared service.
type Service struct {
	// Name is unique within the fleet.
	Name string
	// State determines whether the service accepts new work.
	State State
	// Floor is the minimum number of backend servers that ejection must leave.
	Floor int
	// Share is the minimum fraction of backend servers that ejection must leave,
	// from 0 to 1. The larger of Floor and Share applies.
	Share float64
	// Classes is not empty, except for a service of a routing that no route names.
	Classes []Class
	// Routes is empty for services of a routing. Other services have at least one
	// route while they are open.
	Routes []Route
	// Change identifies the write that stored this declaration.
	Change string
	// Connections is the maximum number of connections that a backend server
	// accepts from all instances together; 0 means that it is unknown.
	Connections int `json:",omitempty" cbor:",omitempty"`
}

// WithState returns s in state st.
func (s Service) WithState(st State) Service {
	s.State = st
	return s
}

// WithChange returns s with the identifier of a write.
func (s Service) WithChange(id string) Service {
	s.Change = id
	return s
}

// MinRemaining returns how many of n live backend servers ejection must leave.
func (s Service) MinRemaining(n int) int {
	// The small subtrahend absorbs rounding errors of the product.
	share := int(math.Ceil(s.Share*float64(n) - 1e-9))
	return min(n, max(s.Floor, share))
}

// Class returns the class with the given name.
func (s Service) Class(name string) (Class, bool) {
	for _, c := range s.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// Match returns the class of the route that accepts the method and whose path
// is the longest prefix of the path of a request.
func (s Service) Match(method, path string) (Class, bool) {
	best := -1
	name := ""
	for _, r := range s.Routes {
		if len(r.Path) > best && r.matches(method, path) {
			best = len(r.Path)
			name = r.Class
		}
	}
	if best < 0 {
		return Class{}, false
	}
	return s.Class(name)
}

// matches reports whether the route accepts a method and path.
func (r Route) matches(method, path string) bool {
	if !strings.HasPrefix(path, r.Path) {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}
