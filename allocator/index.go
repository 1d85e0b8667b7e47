package allocator

import (
	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// demandRecord is the number of instances a service wants and those it has.
type demandRecord struct {
	count   int
	serving []descriptor.Member
}

// Index keeps the serving instances of all services in step with the members.
// A member that comes or goes costs one weight per service, and a new ranking
// for the few services that it concerns.
type Index struct {
	members  *container.Table[string, descriptor.Member]
	groups   *groups
	services *container.Table[string, demandRecord]
}

// NewIndex returns an index without members and services.
func NewIndex() *Index {
	return &Index{
		members:  container.NewTable[string, descriptor.Member](),
		groups:   newGroups(),
		services: container.NewTable[string, demandRecord](),
	}
}

// Members returns the number of members.
func (x *Index) Members() int { return x.members.Len() }

// Get returns the serving instances of a service.
func (x *Index) Get(service string) []descriptor.Member {
	r, _ := x.services.Get(service)
	return r.serving
}

// SetService sets how many instances a service wants and tells whether its
// serving instances changed.
func (x *Index) SetService(service string, count int) bool {
	r, ok := x.services.Get(service)
	if ok && r.count == count {
		return false
	}
	r.count = count
	return x.rank(service, r)
}

// DeleteService forgets a service.
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
	if ok && before.Domain == m.Domain {
		return x.replace(m)
	}
	return x.rerank(func(service string, r demandRecord) bool {
		return contains(r.serving, m.ID) || enters(service, r, m)
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
	return x.rerank(func(_ string, r demandRecord) bool { return contains(r.serving, id) })
}

// replace puts a new record of a member in place of its old one.
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

func (x *Index) rerank(concerned func(string, demandRecord) bool) []string {
	var changed []string
	for i := range x.services.Len() {
		service, r := x.services.At(i)
		if concerned(service, r) && x.rank(service, r) {
			changed = append(changed, service)
		}
	}
	return changed
}

// rank computes the serving instances of a service anew.
func (x *Index) rank(service string, r demandRecord) bool {
	serving := x.groups.serving(service, r.count)
	changed := !sameMembers(serving, r.serving)
	r.serving = serving
	x.services.Put(service, r)
	return changed
}

// standing is what the serving instances of one failure domain amount to.
type standing struct {
	count int
	best  uint64
}

// enters tells whether a new member may be among the serving instances: its
// place within its failure domain must be in a round before the last one, or in
// the last one ahead of a failure domain that has a place there.
func enters(service string, r demandRecord, m descriptor.Member) bool {
	if len(r.serving) < r.count {
		return true
	}
	weight := Weight(service, m.ID)
	domains := make(map[string]standing, len(r.serving))
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
