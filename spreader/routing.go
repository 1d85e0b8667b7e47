package spreader

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/container"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

// routingHistoryLength is the number of changes that are kept of a routing, so that an
// instance which holds one of that many earlier versions is sent only the difference.
const routingHistoryLength = 32

// routingChange describes how a version of a routing differs from the next one.
type routingChange struct {
	// sum is the content hash of the version.
	sum uint64
	// names lists the routes, and customers the customers, that were changed, added or removed
	// with the next version.
	names, customers []string
}

// withSortedRoutes returns d with the routes of its routing ordered by the names of their
// classes, and the customers by their names. All instances then hold them in the same order,
// whether they read them from the store, in the order of the operators, or applied a difference.
func withSortedRoutes(d descriptor.Document) descriptor.Document {
	if d.Kind != descriptor.KindRouting || d.Routing == nil {
		return d
	}
	routing := *d.Routing
	routing.Routes = sorted(routing.Routes, routeName)
	routing.Customers = sorted(routing.Customers, customerName)
	d.Routing = &routing
	return d
}

// sorted returns list in the order of the names. It doesn't change list.
func sorted[T any](list []T, name func(T) string) []T {
	byName := func(a, b T) int { return strings.Compare(name(a), name(b)) }
	if slices.IsSortedFunc(list, byName) {
		return list
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, byName)
	return list
}

func routeName(r declarer.HostRoute) string   { return r.Class.Name }
func customerName(c declarer.Customer) string { return c.Name }

// routingSum returns the content hash of a routing, which is never 0.
func routingSum(r declarer.Routing) uint64 {
	h := xxhash.New()
	text := func(s string) {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	number := func(n int64) { text(strconv.FormatInt(n, 36)) }
	number(int64(r.Version))
	for _, route := range r.Routes {
		text(route.Host)
		text(route.Path)
		text(route.Class.Name)
		number(int64(route.Class.Target))
		number(int64(route.Class.Timeout))
		number(int64(route.Class.Attempts))
		number(int64(route.Class.Rank))
		for _, flag := range []bool{route.Class.Idempotent, route.Class.Long, route.Class.Keyless} {
			text(strconv.FormatBool(flag))
		}
		for _, p := range route.Parts {
			text(p.Service)
			number(int64(p.Weight))
		}
	}
	addCustomers(r, text, number)
	return max(1, h.Sum64())
}

// addCustomers adds the customers of a routing to a content hash. Without customers the hash is
// that of earlier builds.
func addCustomers(r declarer.Routing, text func(string), number func(int64)) {
	if !r.Keyed {
		return
	}
	text("customers")
	for _, route := range r.Routes {
		text(strconv.FormatBool(route.Public))
	}
	for _, c := range r.Customers {
		text(c.Name)
		number(int64(c.Rank))
		number(int64(math.Float64bits(c.Rate)))
		number(int64(math.Float64bits(c.Burst)))
		number(int64(len(c.Keys)))
		for _, key := range c.Keys {
			text(key)
		}
	}
}

func equalRoutes(a, b declarer.HostRoute) bool {
	return a.Host == b.Host && a.Path == b.Path && a.Class == b.Class && a.Public == b.Public && slices.Equal(a.Parts, b.Parts)
}

func equalCustomers(a, b declarer.Customer) bool {
	return a.Name == b.Name && a.Rank == b.Rank && a.Rate == b.Rate && a.Burst == b.Burst && slices.Equal(a.Keys, b.Keys)
}

// changed returns the names of the items in which two lists differ. Both are in the order of the
// names.
func changed[T any](from, to []T, name func(T) string, equal func(a, b T) bool) []string {
	var names []string
	for len(from) > 0 && len(to) > 0 {
		order := strings.Compare(name(from[0]), name(to[0]))
		switch {
		case order < 0:
			names = append(names, name(from[0]))
		case order > 0 || !equal(from[0], to[0]):
			names = append(names, name(to[0]))
		}
		if order <= 0 {
			from = from[1:]
		}
		if order >= 0 {
			to = to[1:]
		}
	}
	for _, v := range append(slices.Clip(from), to...) {
		names = append(names, name(v))
	}
	return names
}

// withNames returns the items of list whose names are in names, and the sorted names of those that
// list lacks.
func withNames[T any](list []T, names map[string]bool, name func(T) string) (found []T, missing []string) {
	for _, v := range list {
		if n := name(v); names[n] {
			found = append(found, v)
			delete(names, n)
		}
	}
	return found, slices.Sorted(maps.Keys(names))
}

// rememberRouting keeps how a routing that is about to be replaced differs from the next one.
func (s *Spreader) rememberRouting(k key, h held, next descriptor.Document) {
	if h.sum == 0 || next.Routing == nil {
		return
	}
	changes, ok := s.routingChanges.Get(k)
	if !ok {
		changes = container.NewRing[routingChange](routingHistoryLength)
		s.routingChanges.Put(k, changes)
	}
	from, to := h.document.Routing, next.Routing
	changes.Add(routingChange{
		sum:       h.sum,
		names:     changed(from.Routes, to.Routes, routeName, equalRoutes),
		customers: changed(from.Customers, to.Customers, customerName, equalCustomers),
	})
}

// routingDifference returns the routing h as the difference to the version with the content
// hash base, or complete if nearly all routes and customers changed. It returns false if that
// version is not known.
func (s *Spreader) routingDifference(k key, h held, base uint64) (descriptor.Document, bool) {
	names, customers, ok := s.changedSince(k, base)
	d := h.document
	if !ok || len(names)+len(customers) >= len(d.Routing.Routes)+len(d.Routing.Customers) {
		return d, ok
	}
	routing := *d.Routing
	routing.Routes, d.Removed = withNames(routing.Routes, names, routeName)
	routing.Customers, d.Closed = withNames(routing.Customers, customers, customerName)
	d.Routing, d.Base, d.Sum = &routing, base, h.sum
	return d, true
}

// changedSince returns the names of the routes and customers that changed since the version with
// the content hash base, and whether that version is known.
func (s *Spreader) changedSince(k key, base uint64) (names, customers map[string]bool, ok bool) {
	changes, ok := s.routingChanges.Get(k)
	if !ok {
		return nil, nil, false
	}
	list := changes.Slice()
	names, customers = make(map[string]bool), make(map[string]bool)
	for i := len(list) - 1; i >= 0; i-- {
		for _, name := range list[i].names {
			names[name] = true
		}
		for _, name := range list[i].customers {
			customers[name] = true
		}
		if list[i].sum == base {
			return names, customers, true
		}
	}
	return nil, nil, false
}

// completeRouting returns the complete routing for a difference to the one that is held. It
// returns false if the result is not the expected routing.
func completeRouting(d descriptor.Document, base declarer.Routing) (descriptor.Document, bool) {
	sum, routing := d.Sum, *d.Routing
	routing.Routes = merged(base.Routes, routing.Routes, d.Removed, routeName)
	if routing.Keyed {
		routing.Customers = merged(base.Customers, routing.Customers, d.Closed, customerName)
	}
	d.Routing, d.Base, d.Removed, d.Closed, d.Sum = &routing, 0, nil, nil, 0
	return d, routingSum(routing) == sum
}
