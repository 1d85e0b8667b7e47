package descriptor

import (
	"time"

	"monsoonswitch/declarer"
)

// Directory is an immutable snapshot of what traffic reads on each request.
type Directory struct {
	// Services holds each declared service by name.
	Services map[string]*Entry
	// Ready tells that the configuration is known.
	Ready bool
	// Leaving tells that the instance is shutting down.
	Leaving bool
	// Routes finds services by host and path, and is nil unless a routing
	// declares the services.
	Routes *declarer.Map `json:",omitempty"`
	// Settled tells that the members known are about all there are, so that
	// callers can be told which instances to use.
	Settled bool `json:",omitempty"`
	// Callers lists the instances that callers are sent to under a routing.
	Callers []Member `json:",omitempty"`
	// Current is the time as of which nothing newer was in the platform's store.
	Current time.Time `json:",omitzero"`
}

// leastNear is the number of instances in a failure domain from which on the
// callers there are sent to these alone.
const leastNear = 2

// CallersNear returns the instances that the callers of a failure domain are sent
// to: those in it, or all if it has too few.
func (d *Directory) CallersNear(domain string) []Member {
	var near []Member
	for _, m := range d.Callers {
		if m.Domain == domain {
			near = append(near, m)
		}
	}
	if len(near) < leastNear {
		return d.Callers
	}
	return near
}

// Entry is what traffic knows of a service.
type Entry struct {
	Service  declarer.Service
	Revision uint64
	// Serving lists the instances that serve it, nearest failure domain first.
	Serving []Member
	// Here tells that this instance serves it.
	Here bool
}
