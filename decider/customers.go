package decider

import "monsoonswitch/descriptor"

// identifiedBefore reports whether the customer of a request was looked up in another version of
// the routing than the one in force, and may differ in that one.
func (d *Decider[E, D, P, L]) identifiedBefore(e descriptor.Arrived) bool {
	return d.routes != nil && d.routes.Routing().Keyed && e.Routing != d.routes.Routing().Version
}
