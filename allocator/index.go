package allocator

import (
	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// serviceRecord is the number of serving instances that a service should have,
// and those that it has.
type serviceRecord struct {
	count   int
	serving []descriptor.Member
	// callers is set for a role that SetCallers declared. count is then the number of
	// slots.
	callers bool
}

// Index keeps the serving instances of all services up to date with the members.
// Adding or removing a member costs one weight for each service, and a new
// ranking for the few services that are affected.
type Index struct {
	members  *container.Table[string, descriptor.Member]
	groups   *groups
	services *container.Table[string, serviceRecord]
	// callersStale is set when members changed since the roles of callers were ranked;
	// see Settle.
	callersStale bool
}

// NewIndex returns an index without members and services.
func NewIndex() *Index {
	return &Index{
		members:  container.NewTable[string, descriptor.Member](),
		groups:   newGroups(),
		services: container.NewTable[string, serviceRecord](),
	}
}

// Members returns the number of members.
func (x *Index) Members() int { return x.members.Len() }

// Get returns the serving instances of a service.
func (x *Index) Get(service string) []descriptor.Member {
	r, _ := x.services.Get(service)
	return r.serving
}

// SetService sets how many instances should serve a service and reports whether
// its serving instances changed.
func (x *Index) SetService(service string, count int) bool {
	r, ok := x.services.Get(service)
	if ok && r.count == count {
		return false
	}
	r.count = count
	return x.rank(service, r)
}

// DeleteService removes a service.
func (x *Index) DeleteService(service string) { x.services.Delete(service) }

// Put adds or replaces a member and returns the services whose serving
// instances changed.
func (x *Index) Put(m descriptor.Member) []string {
	before, ok := x.members.Get(m.ID)
	x.members.Put(m.ID, m)
	if ok && before.Domain != m.Domain {
		x.groups.remove(before)
	}
	x.groups.put(m)
	x.callersStale = x.callersStale || !ok || before.Domain != m.Domain || before.Capacity != m.Capacity
	if ok && before.Domain == m.Domain {
		return x.replace(m)
	}
	return x.rerank(func(service string, r serviceRecord) bool {
		return !r.callers && (contains(r.serving, m.ID) || mayEnter(service, r, m))
	})
}

// Delete removes a member and returns the services whose serving instances
// changed.
func (x *Index) Delete(id string) []string {
	m, ok := x.members.Get(id)
	if !ok {
		return nil
	}
	x.members.Delete(id)
	x.groups.remove(m)
	x.callersStale = true
	return x.rerank(func(_ string, r serviceRecord) bool { return !r.callers && contains(r.serving, id) })
}

// replace replaces the record of a member that is already known in the same
// failure domain. It returns the services that the member serves.
func (x *Index) replace(m descriptor.Member) []string {
	var changed []string
	for i := range x.services.Len() {
		service, r := x.services.At(i)
		if !contains(r.serving, m.ID) {
			continue
		}
		serving := make([]descriptor.Member, len(r.serving))
		copy(serving, r.serving)
		for k := range serving {
			if serving[k].ID == m.ID {
				serving[k] = m
			}
		}
		r.serving = serving
		x.services.SetAt(i, r)
		changed = append(changed, service)
	}
	return changed
}

func (x *Index) rerank(affected func(string, serviceRecord) bool) []string {
	var changed []string
	for i := range x.services.Len() {
		service, r := x.services.At(i)
		if affected(service, r) && x.rank(service, r) {
			changed = append(changed, service)
		}
	}
	return changed
}

// rank recomputes the serving instances of a service and reports whether they
// changed.
func (x *Index) rank(service string, r serviceRecord) bool {
	var serving []descriptor.Member
	if r.callers {
		serving = x.groups.callers(service, r.count)
	} else {
		serving = x.groups.serving(service, r.count)
	}
	changed := !sameMembers(serving, r.serving)
	r.serving = serving
	x.services.Put(service, r)
	return changed
}

// domainState is the number of serving instances in one failure domain and their
// highest weight.
type domainState struct {
	count int
	best  uint64
}

// mayEnter reports whether a new member may become one of the serving instances.
// Its place within its failure domain must fall into a round before the last one,
// or into the last one if it displaces an instance there: one of its own failure
// domain, or one of a failure domain that comes after it.
func mayEnter(service string, r serviceRecord, m descriptor.Member) bool {
	if len(r.serving) < r.count {
		return true
	}
	weight := Weight(service, m.ID)
	domains := make(map[string]domainState, len(r.serving))
	place, rounds := 0, 0
	for _, s := range r.serving {
		w := Weight(service, s.ID)
		d := domains[s.Domain]
		d.count++
		d.best = max(d.best, w)
		domains[s.Domain] = d
		rounds = max(rounds, d.count)
		if s.Domain == m.Domain && w > weight {
			place++
		}
	}
	if place != rounds-1 {
		return place < rounds
	}
	best := max(weight, domains[m.Domain].best)
	for _, d := range domains {
		if d.count == rounds && best > d.best {
			return true
		}
	}
	return domains[m.Domain].count == rounds
}

func contains(list []descriptor.Member, id string) bool {
	for _, m := range list {
		if m.ID == id {
			return true
		}
	}
	return false
}

func sameMembers(a, b []descriptor.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID != b[i].ID || a[i].Incarnation != b[i].Incarnation || a[i].Public != b[i].Public {
			return false
		}
	}
	return true
}
