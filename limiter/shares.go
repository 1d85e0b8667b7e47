package limiter

// maxParts is the largest number of parts of a Shares value.
const maxParts = 12

// Shares is an amount that several parts share. Each part has an amount that is reserved for it, so
// that the others together never take all of it, and a bound of its own. It is an immutable value.
type Shares[N ~int | ~int64] struct {
	limit N
	parts [maxParts]part[N]
}

// part is the state of one part.
type part[N ~int | ~int64] struct{ reserved, most, held N }

// NewShares returns an amount of which nothing is held and no part may take anything.
func NewShares[N ~int | ~int64](limit N) Shares[N] { return Shares[N]{limit: limit} }

// WithPart returns s with an amount reserved for a part, which may hold up to most. The reserved
// amounts of all parts must not exceed the limit.
func (s Shares[N]) WithPart(i int, reserved, most N) Shares[N] {
	s.parts[i].reserved, s.parts[i].most = reserved, most
	return s
}

// Held returns the amount that a part holds.
func (s Shares[N]) Held(i int) N { return s.parts[i].held }

// Most returns what a part can hold while the others hold nothing.
func (s Shares[N]) Most(i int) N {
	rest := s.limit
	for j, p := range s.parts {
		if j != i {
			rest -= p.reserved
		}
	}
	return min(rest, s.parts[i].most)
}

// With returns s after a part took n. It returns s and false if less than spare would be left for
// the part, or if n is not left without what is reserved for others.
func (s Shares[N]) With(i int, n, spare N) (Shares[N], bool) {
	if s.parts[i].held+n+spare > s.parts[i].most {
		return s, false
	}
	sum := N(0)
	for j, p := range s.parts {
		if j == i {
			p.held += n + spare
		}
		sum += max(p.held, p.reserved)
	}
	if sum > s.limit {
		return s, false
	}
	s.parts[i].held += n
	return s, true
}

// WithReturned returns s after a part returned n of what it took.
func (s Shares[N]) WithReturned(i int, n N) Shares[N] {
	s.parts[i].held -= n
	return s
}
