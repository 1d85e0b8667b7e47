package container

// Positions is a set of small non-negative integers. Set, Len and At take constant
// time, except when Set has to extend the index.
type Positions struct {
	// members lists the members. For each member p members[index[p]-1] == p, and
	// index[p] is 0 for every other p.
	members []int
	index   []int
}

// Len returns the number of members.
func (s *Positions) Len() int { return len(s.members) }

// At returns the i-th member, with 0 <= i < Len(). The order depends on past
// operations.
func (s *Positions) At(i int) int { return s.members[i] }

// Set adds p to the set if member is true, and removes it otherwise.
func (s *Positions) Set(p int, member bool) {
	for len(s.index) <= p {
		s.index = append(s.index, 0)
	}
	if member == (s.index[p] > 0) {
		return
	}
	if member {
		s.members = append(s.members, p)
		s.index[p] = len(s.members)
		return
	}
	last := s.members[len(s.members)-1]
	s.members[s.index[p]-1] = last
	s.index[last] = s.index[p]
	s.members = s.members[:len(s.members)-1]
	s.index[p] = 0
}

// Clear removes all members.
func (s *Positions) Clear() {
	s.members = s.members[:0]
	clear(s.index)
}
