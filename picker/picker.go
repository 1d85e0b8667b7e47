// Package picker chooses a backend server among those with a free slot.
package picker

// Candidate is a backend server with a free slot.
type Candidate struct {
	// Position identifies the candidate to the caller of Pick.
	Position int
	// InFlight is the number of open attempts of this instance at the backend server.
	// It can reach or exceed Share while slots are leased from other instances.
	InFlight int
	// Share is the number of slots assigned to this instance, without leased ones, or
	// all slots if they are not divided among instances. It is at least 1.
	Share int
	// ServeProbability is the estimated probability that the backend server serves the
	// request, from 0 to 1.
	ServeProbability float64
	// Load is the estimated number of open requests of all instances per slot.
	Load float64
	// WaitShare is the expected waiting time at the backend server, as a share of the
	// time that the request can wait and still meet its target.
	WaitShare float64
	// Bonus is added to the score, in units of probability, for properties of the
	// path to the backend server, such as the same failure domain.
	Bonus float64
}

// Source generates random numbers; the same seed gives the same sequence.
type Source interface {
	// Uint64 returns the next number.
	Uint64() uint64
}

// Policy chooses one of n candidates.
type Policy interface {
	// Pick returns the index of the chosen candidate. n is positive, at returns
	// the candidate of an index, and turn grows by one with each call.
	Pick(n int, at func(int) Candidate, turn uint64, s Source) int
}

// sampleSize is the number of candidates that Sampled compares.
const sampleSize = 3

// Sampled takes the least loaded of a few random candidates. Its cost does not
// grow with the number of backend servers.
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
		if best < 0 || lessLoaded(c, chosen) {
			best, chosen = i, c
		}
	}
	return best
}

// Weights in the score of HighestScore, in units of probability.
const (
	// loadWeight is subtracted for a backend server whose slots are all in use,
	// because a fully loaded one is slower; for less load it is scaled down.
	loadWeight = 0.035
	// waitWeight is subtracted for a request that waits for all the time it has
	// to spare. It is the value that the request loses by then.
	waitWeight = 0.8
)

// HighestScore takes the candidate with the highest score: the probability of service
// plus the bonus, less the weighted load and waiting time. It suits loads where
// some backend servers fail quickly: those that served requests lately are known
// to be healthy, while those that look idle and got no requests lately are not.
type HighestScore struct{}

// Pick implements Policy.
func (HighestScore) Pick(n int, at func(int) Candidate, turn uint64, _ Source) int {
	best, highest := -1, 0.0
	for k := range n {
		i := (int(turn%uint64(n)) + k) % n
		c := at(i)
		score := c.ServeProbability + c.Bonus - loadWeight*min(c.Load, 1) - waitWeight*c.WaitShare
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
		if c := at(i); lessLoaded(c, chosen) {
			best, chosen = i, c
		}
	}
	return best
}

func lessLoaded(a, b Candidate) bool { return a.InFlight*b.Share < b.InFlight*a.Share }

// RoundRobin takes the candidates in turn.
type RoundRobin struct{}

// Pick implements Policy.
func (RoundRobin) Pick(n int, _ func(int) Candidate, turn uint64, _ Source) int {
	return int(turn % uint64(n))
}
