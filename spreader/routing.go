package spreader

import (
	"maps"
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
	// names lists the routes that were changed, added or removed with the next version.
	names []string
}

// withSortedRoutes returns d with the routes of its routing ordered by the names of their
// classes. All instances then hold them in the same order, whether they read them from the
// store, in the order of the operators, or applied a difference.
func withSortedRoutes(d descriptor.Document) descriptor.Document {
	if d.Kind != descriptor.KindRouting || d.Routing == nil || slices.IsSortedFunc(d.Routing.Routes, compareRoutes) {
		return d
	}
	routing := *d.Routing
	routing.Routes = slices.Clone(routing.Routes)
	slices.SortStableFunc(routing.Routes, compareRoutes)
	d.Routing = &routing
	return d
}

func compareRoutes(a, b declarer.HostRoute) int { return strings.Compare(a.Class.Name, b.Class.Name) }

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
	return max(1, h.Sum64())
}

// routesByName returns the routes of a routing by the names of their classes.
func routesByName(r *declarer.Routing) map[string]declarer.HostRoute {
	routes := make(map[string]declarer.HostRoute, len(r.Routes))
	for _, route := range r.Routes {
		routes[route.Class.Name] = route
	}
	return routes
}

func equalRoutes(a, b declarer.HostRoute) bool {
	return a.Host == b.Host && a.Path == b.Path && a.Class == b.Class && slices.Equal(a.Parts, b.Parts)
}

// changedRoutes returns the names of the routes in which two routings differ.
func changedRoutes(from, to *declarer.Routing) []string {
	before := routesByName(from)
	var names []string
	for _, route := range to.Routes {
		name := route.Class.Name
		if old, ok := before[name]; !ok || !equalRoutes(old, route) {
			names = append(names, name)
		}
		delete(before, name)
	}
	for name := range before {
		names = append(names, name)
	}
	return names
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
	changes.Add(routingChange{sum: h.sum, names: changedRoutes(h.document.Routing, next.Routing)})
}

// routingDifference returns the routing h as the difference to the version with the content
// hash base, or complete if nearly all routes changed. It returns false if that version is
// not known.
func (s *Spreader) routingDifference(k key, h held, base uint64) (descriptor.Document, bool) {
	names, ok := s.routesChangedSince(k, base)
	if !ok || len(names) >= len(h.document.Routing.Routes) {
		return h.document, ok
	}
	d := h.document
	routing := *d.Routing
	routing.Routes = nil
	for _, route := range d.Routing.Routes {
		if names[route.Class.Name] {
			routing.Routes = append(routing.Routes, route)
			delete(names, route.Class.Name)
		}
	}
	d.Removed = slices.Sorted(maps.Keys(names))
	d.Routing, d.Base, d.Sum = &routing, base, h.sum
	return d, true
}

// routesChangedSince returns the names of the routes that changed since the version with the
// content hash base, and whether that version is known.
func (s *Spreader) routesChangedSince(k key, base uint64) (map[string]bool, bool) {
	changes, ok := s.routingChanges.Get(k)
	if !ok {
		return nil, false
	}
	list := changes.Slice()
	names := make(map[string]bool)
	for i := len(list) - 1; i >= 0; i-- {
		for _, name := range list[i].names {
			names[name] = true
		}
		if list[i].sum == base {
			return names, true
		}
	}
	return nil, false
}

// completeRouting returns the complete routing for a difference to the one that is held. It
// returns false if the result is not the expected routing.
func completeRouting(d descriptor.Document, base declarer.Routing) (descriptor.Document, bool) {
	sum, routing := d.Sum, *d.Routing
	routing.Routes = merged(base.Routes, routing.Routes, d.Removed, func(r declarer.HostRoute) string { return r.Class.Name })
	d.Routing, d.Base, d.Removed, d.Sum = &routing, 0, nil, 0
	return d, routingSum(routing) == sum
}
