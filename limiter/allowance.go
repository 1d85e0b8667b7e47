package limiter

import "time"

const (
	// maxBurst is the number of requests that one instance may save.
	maxBurst = 1
	// burstPerLimit is the number of instances that may send, for each request a second of the
	// limit, beyond the first. Each may save maxBurst, and what they save together must stay
	// small against the limit of some seconds.
	burstPerLimit = 2
	// nonOwnerPart is the part of a limit that an instance without a share of the slots may
	// send. There are many, and callers are not sent to them.
	nonOwnerPart = 0.02
	// allowanceTime is how long a limit holds without news of it.
	allowanceTime = time.Minute
)

// Allowance is the part of a backend server's limit that one instance may send. The limit bounds
// the requests of all instances together, which do not see what the others send, so it is divided
// among a few of them.
type Allowance struct {
	// Limit is the number of requests a second that the backend server takes from all
	// instances; 0 means that it named no limit, or dropped it.
	Limit float64
	// NamedAt is when an answer last named the limit, or came without one.
	NamedAt time.Time
	// Rate is the number of requests a second that this instance may send.
	Rate float64
	// bucket holds the requests that may be sent, up to maxBurst.
	bucket Bucket
}

// Part returns the part of a limit that an instance may send, where count instances share it and
// turn is the position of this one in an order that differs by backend server. turn is negative
// for an instance that has no share.
func Part(limit float64, count, turn int) float64 {
	if turn < 0 {
		return nonOwnerPart
	}
	senders := min(count, 1+int(burstPerLimit*limit))
	if turn >= senders {
		return 0
	}
	return 1 / float64(senders)
}

// WithLimit returns a after news as of at that the backend server's limit is limit. Older news
// than those that are known are ignored.
func (a Allowance) WithLimit(now, at time.Time, limit float64) Allowance {
	if !at.After(a.NamedAt) {
		return a
	}
	if !a.Active(now) {
		a.bucket = NewBucket(now)
	}
	a = a.at(now)
	a.Limit, a.NamedAt = limit, at
	return a
}

// WithPart returns a after the part of the limit that this instance may send changed at now.
func (a Allowance) WithPart(now time.Time, part float64) Allowance {
	a = a.at(now)
	a.Rate = part * a.Limit
	return a
}

// WithRequest returns a after a request was sent at now.
func (a Allowance) WithRequest(now time.Time) Allowance {
	a = a.at(now)
	a.bucket = a.bucket.WithRequests(1)
	return a
}

// Active reports whether a limit is in force at now.
func (a Allowance) Active(now time.Time) bool {
	return a.Limit > 0 && now.Sub(a.NamedAt) < allowanceTime
}

// Open reports whether a request may be sent at now.
func (a Allowance) Open(now time.Time) bool { return !a.Active(now) || a.at(now).bucket.Left() >= 1 }

// at returns a with the requests that may be sent at now.
func (a Allowance) at(now time.Time) Allowance {
	a.bucket = a.bucket.WithTime(now, a.Rate, maxBurst)
	return a
}
