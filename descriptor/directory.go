package descriptor

import "monsoonswitch/declarer"

// Directory is an immutable snapshot of what traffic reads on each request.
type Directory struct {
	// Services holds each declared service by name.
	Services map[string]*Entry
	// Ready tells that the configuration is known.
	Ready bool
	// Leaving tells that the instance is shutting down.
	Leaving bool
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
