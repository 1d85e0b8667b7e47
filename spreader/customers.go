package spreader

import "monsoonswitch/descriptor"

// Earlier builds decode and send a routing without its customers. An instance that got one from
// such a build would serve requests without a key until the next version. So a routing with
// customers replaces one of the same revision without, and the hashes of the two differ.

// keyed reports whether h is a routing with customers.
func (h held) keyed() bool { return h.document.Routing != nil && h.document.Routing.Keyed }

// lacksCustomers reports whether d is the same revision of a routing as h, with the customers that
// h lacks.
func (h held) lacksCustomers(d descriptor.Document) bool {
	return h.document.Routing != nil && !h.keyed() && d.Revision == h.document.Revision && d.Routing != nil && d.Routing.Keyed
}

// mayLackCustomers reports whether r may refer to the same revision of a routing as h, with the
// customers that h lacks.
func (h held) mayLackCustomers(r descriptor.Reference) bool {
	return h.document.Routing != nil && !h.keyed() && r.Revision == h.document.Revision && r.Sum != 0 && r.Sum != h.sum
}
