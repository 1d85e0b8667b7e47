// Package rationer decides how many requests of each customer an instance may send, so that all
// instances together keep to the customers' limits. It uses no network, and the time is an argument.
//
// Each of the N instances of the fleet owns an N-th of every limit. It gives its share of a customer
// to the instance that it takes for the customer's grantor, for as long as pledgeLife, and to no one
// else meanwhile. A grantor uses the shares that it holds, so that all grantors together use no more
// than the whole, however their views of the fleet differ.
package rationer

import "time"

// Rule is what all instances together must keep to. In every window of Window, at most
// (rate x Window + burst) x (1 + Excess) + Slack requests of a customer run.
type Rule struct {
	// Window is positive, or 0 if no quotas are checked.
	Window time.Duration
	Excess float64
	Slack  float64
}

// Enabled reports whether quotas are checked.
func (r Rule) Enabled() bool { return r.Window > 0 }

// Bound returns the largest number of requests that may run in a window.
func (r Rule) Bound(l Limit) float64 {
	return (l.Rate*r.Window.Seconds()+l.Burst)*(1+r.Excess) + r.Slack
}

// Limit is the limit of one customer.
type Limit struct {
	// Rate is the number of requests a second and Burst the number at once. Rate is positive.
	Rate, Burst float64
}

const (
	// maxLife is the longest life of a permit. Shorter lives waste permits where a grant is late.
	maxLife = 500 * time.Millisecond
	// minLife is the shortest life of a permit that covers a round trip and a pause of the
	// process.
	minLife = 50 * time.Millisecond
	// reservedPart is the part of what the rule allows beyond the limit that is not used. It
	// covers instances that others don't know yet, and requests that wait at this instance after
	// they took a permit.
	reservedPart = 0.5
)

// Terms are how the permits of a customer are granted. Permits that are used in a window were
// granted in it or at most Life before, so at most Size + Rate x (Window + Life) run in it.
type Terms struct {
	// Rate is the number of permits a second, Size that of the bucket, and Life the time that
	// a permit is valid.
	Rate, Size float64
	Life       time.Duration
}

// TermsFor returns the terms of a customer by which the rule holds.
func TermsFor(r Rule, l Limit) Terms {
	beyond := r.Bound(l) - l.Rate*r.Window.Seconds() - l.Burst
	usable := beyond * (1 - reservedPart)
	life := time.Duration(min(maxLife.Seconds(), max(minLife.Seconds(), usable/2/l.Rate)) * float64(time.Second))
	size := max(1, l.Burst+usable-l.Rate*life.Seconds())
	rate := (l.Rate*r.Window.Seconds() + l.Burst + usable - size) / (r.Window + life).Seconds()
	return Terms{Rate: max(0, min(l.Rate, rate)), Size: size, Life: life}
}
