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
	// Callers lists the instances that callers are sent to under a routing.
	Callers []Member `json:",omitempty"`
	// Current is the time as of which nothing newer was in the platform's store.
	Current time.Time `json:",omitzero"`
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
