// Package picker chooses a backend server among those with a free slot.
package picker

// Candidate is a backend server with a free slot.
type Candidate struct {
	// Position identifies the candidate to the caller of Pick.
	Position int
	// InFlight is below Share.
	InFlight int
	// Share is the number of slots that may be used; it is positive.
	Share int
	// Trust is the probability that it does not fail the work.
	Trust float64
	// Load is the estimated number of requests of all instances per slot.
	Load float64
	// Wait is the part of the time that the work has to spare for which it is
	// expected to wait there.
	Wait float64
	// Bonus is what the way to it is worth against the same work elsewhere, in
	// units of Trust.
	Bonus float64
}

// Source draws numbers; the same seed gives the same sequence.
type Source interface {
	// Uint64 returns the next number.
	Uint64() uint64
}

// Policy chooses one of n candidates.
type Policy interface {
	// Pick returns the index of the chosen candidate. n is positive and turn
	// grows by one with each call.
	Pick(n int, at func(int) Candidate, turn uint64, s Source) int
}

// sampleSize is the number of candidates that Sampled compares.
const sampleSize = 3

// Sampled takes the least loaded of a few random candidates, so that its cost
// does not grow with the service.
type Sampled struct{}

// Pick implements Policy.
func (Sampled) Pick(n int, at func(int) Candidate, _ uint64, s Source) int {
	best := -1
	var chosen Candidate
	draw := s.Uint64()
	for range min(n, sampleSize) {
		i := int(uint32(draw) % uint32(n))
		draw = draw>>21 | draw<<43
		c := at(i)
		if best < 0 || lighter(c, chosen) {
			best, chosen = i, c
		}
	}
	return best
}

// Weights of load against trust.
const (
	// loadWeight is the trust that a backend server with all slots in use must
	// have ahead of an idle one: a full one is slower.
	loadWeight = 0.035
	// waitWeight is the trust for work that waits for all its spare time: as much
	// of its value as it loses then.
	waitWeight = 0.8
)

// Trusted takes the candidate that is most likely not to fail the work and not to
// let it wait. It answers loads where some backend servers fail quickly: those
// that served lately are known to be sound, while those that look idle and were
// not asked for a while are not.
type Trusted struct{}

// Pick implements Policy.
func (Trusted) Pick(n int, at func(int) Candidate, turn uint64, _ Source) int {
	best, highest := -1, 0.0
	for k := range n {
		i := (int(turn%uint64(n)) + k) % n
		c := at(i)
		score := c.Trust + c.Bonus - loadWeight*min(c.Load, 1) - waitWeight*c.Wait
		if best < 0 || score > highest {
			best, highest = i, score
		}
	}
	return best
}

// LeastLoaded takes the candidate with the smallest share of its slots in use.
type LeastLoaded struct{}

// Pick implements Policy.
func (LeastLoaded) Pick(n int, at func(int) Candidate, turn uint64, _ Source) int {
	start := int(turn % uint64(n))
	best := start
	chosen := at(start)
	for k := 1; k < n; k++ {
		i := (start + k) % n
		if c := at(i); lighter(c, chosen) {
			best, chosen = i, c
		}
	}
	return best
}

func lighter(a, b Candidate) bool { return a.InFlight*b.Share < b.InFlight*a.Share }

// RoundRobin takes the candidates in turn.
type RoundRobin struct{}

// Pick implements Policy.
func (RoundRobin) Pick(n int, _ func(int) Candidate, turn uint64, _ Source) int {
	return int(turn % uint64(n))
}
