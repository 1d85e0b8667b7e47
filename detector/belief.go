package detector

import (
	"math"
	"time"
)

// Parameters of a belief. Backend servers turn gray and recover by themselves.
const (
	// onsetRate and recoveryRate are how often a second a sound backend server
	// turns gray and a gray one recovers: spells of about ten seconds, and about
	// three backend servers in ten within one at a time.
	onsetRate    = 0.035
	recoveryRate = 0.09
	// grayFails is the share of its work that a gray backend server fails.
	grayFails = 0.85
	// soundFails bounds the share that a sound one fails from below.
	soundFails = 0.01
	// beliefFloor bounds the probability of either state from below.
	beliefFloor = 1e-3
	// SoundGray is the probability that stands for a backend server that nobody
	// has in doubt.
	SoundGray = 0.05
)

// Belief is the probability that a backend server is in a gray spell, by how
// requests ended at it and how long ago. The load it answers is work that may
// not run twice on backend servers of which some fail most of it within a
// millisecond, so that they look idle.
type Belief struct {
	// Gray is the probability as of At, from 0 to 1.
	Gray float64
	At   time.Time
}

// stationary is the probability of a gray spell when nothing is known.
const stationary = onsetRate / (onsetRate + recoveryRate)

// NewBelief returns what is believed of a backend server: one that just started is
// hardly ever in a spell, and of others nothing is known.
func NewBelief(now time.Time, started bool) Belief {
	if started {
		return Belief{Gray: beliefFloor, At: now}
	}
	return Belief{Gray: stationary, At: now}
}

// WithTime returns b as of now.
func (b Belief) WithTime(now time.Time) Belief {
	passed := now.Sub(b.At).Seconds()
	if passed <= 0 {
		return b
	}
	b.Gray = stationary + (b.Gray-stationary)*math.Exp(-(onsetRate+recoveryRate)*passed)
	b.At = now
	return b
}

// WithOutcome returns b after a request that ended at now; base is the share of
// requests that fail at sound backend servers.
func (b Belief) WithOutcome(now time.Time, failed bool, base float64) Belief {
	b = b.WithTime(now)
	base = min(max(base, soundFails), grayFails/2)
	gray, sound := 1-grayFails, 1-base
	if failed {
		gray, sound = grayFails, base
	}
	p := b.Gray * gray / (b.Gray*gray + (1-b.Gray)*sound)
	b.Gray = min(1-beliefFloor, max(beliefFloor, p))
	return b
}

// Trust returns the probability that a request sent at now does not fail.
func (b Belief) Trust(now time.Time) float64 {
	gray := b.WithTime(now).Gray
	return 1 - gray*grayFails - (1-gray)*soundFails
}
