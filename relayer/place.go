package relayer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// substituteTime is the time that substitutes have to read the store before other instances
	// query it too.
	substituteTime = 250 * time.Millisecond
	// joinInterval is the time in which the number of instances that query the store doubles.
	joinInterval = 75 * time.Millisecond
	// turnTime is the time for which an instance queries a store that does not answer, and minTurns
	// the least number of groups of instances that do so one after the other. With up to
	// minTurns*maxGroup members, each instance tries again sooner after its own path to the store is
	// back than the platform counts it as in touch.
	turnTime = time.Second
	minTurns = 3
	// maxGroup bounds the groups: the store answers some 2,000 calls a second, and an instance that
	// queries it makes up to five.
	maxGroup = 400
)

// Place is the place of an instance in the order in which instances query a store that does not
// answer those that watch it. Substitutes query it at any time. All others follow within a second,
// so that a configuration still takes effect at those which the store serves, and then in turns, so
// that a store which is really away does not get the queries of the whole fleet at once.
type Place struct {
	// substitutes is the number of instances that query the store at any time.
	substitutes int
	// isSubstitute is set for these.
	isSubstitute bool
	// ahead is the estimated number of instances that query the store before this one.
	ahead float64
	// turns is the number of groups, and turn the group of this instance, from 0 on.
	turns, turn int
}

// NewPlace returns the place of an instance among a number of members. Both the order and the groups
// are the same at all instances without an agreement.
func NewPlace(id string, isSubstitute bool, substitutes, members int) Place {
	hash := xxhash.Sum64String(id)
	turns := max(minTurns, (members+maxGroup-1)/maxGroup)
	return Place{
		substitutes:  substitutes,
		isSubstitute: isSubstitute,
		ahead:        float64(hash) / math.MaxUint64 * float64(members),
		turns:        turns,
		turn:         int(hash % uint64(turns)),
	}
}

// joinTime returns the time from the start of an outage until the instance queries the store first.
func (p Place) joinTime() time.Duration {
	if p.isSubstitute {
		return 0
	}
	doublings := math.Log2(max(1, p.ahead/float64(max(1, p.substitutes))))
	return substituteTime + time.Duration(math.Ceil(doublings))*joinInterval
}

// hasTurn reports whether the instance may query the store at a time after the start of an outage.
func (p Place) hasTurn(outage time.Duration) bool {
	first := p.joinTime()
	switch {
	case p.isSubstitute:
		return true
	case outage < first:
		return false
	case outage < first+turnTime:
		return true
	}
	return int(outage/turnTime)%p.turns == p.turn
}
