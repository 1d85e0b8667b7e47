package descriptor

import (
	"time"

	"monsoonswitch/declarer"
)

// Directory is an immutable snapshot of the state that the traffic goroutines
// read for each request.
type Directory struct {
	// Services holds each declared service by name.
	Services map[string]*ServiceEntry
	// Ready reports whether the configuration has been loaded.
	Ready bool
	// Leaving reports whether the instance is shutting down.
	Leaving bool
	// Routes finds services by host and path. It is nil unless the services are
	// declared by a routing.
	Routes *declarer.RouteIndex `json:",omitempty"`
	// MembersKnown reports whether, under a routing, the list of members is taken to
	// be complete, so that the instance can assign instances to callers.
	MembersKnown bool `json:",omitempty"`
	// Callers lists the instances assigned to callers under a routing.
	Callers []Member `json:",omitempty"`
	// Current is the latest time at which the platform's store is known to have
	// held nothing newer than this snapshot.
	Current time.Time `json:",omitzero"`
	// Strict reports whether work with an API key needs a proof that the routing is recent. Seen
	// is the uptime of the machine as of which the routing is proved to have been the newest.
	Strict bool          `json:",omitempty"`
	Seen   time.Duration `json:",omitempty"`
	// Suspected holds the fingerprints of requests under which backend servers crashed. The
	// bodies of such requests are compared too.
	Suspected map[uint64]bool `json:",omitempty"`
}

// minLocalInstances is the number of instances that a failure domain must have
// before its callers are assigned to these instances only.
const minLocalInstances = 2

// CallersFor returns the instances for the callers of a failure domain: those in
// the same failure domain, or all instances if it has fewer than
// minLocalInstances. Suspected ones are left out unless no other one is left, because
// callers would wait for those that are cut off or suspended.
func (d *Directory) CallersFor(domain string) []Member {
	var all, local []Member
	for _, m := range d.Callers {
		if m.State == Suspect {
			continue
		}
		all = append(all, m)
		if m.Domain == domain {
			local = append(local, m)
		}
	}
	switch {
	case len(all) == 0:
		return d.Callers
	case len(local) < minLocalInstances:
		return all
	}
	return local
}

// ServiceEntry is the part of the directory that describes one service.
type ServiceEntry struct {
	Service  declarer.Service
	Revision uint64
	// Serving lists the instances that serve the service in the order of package
	// allocator, which is the same at all instances that know the same members.
	Serving []Member
	// Local reports whether this instance serves the service.
	Local bool
}
