package limiter

import "time"

const (
	// yieldMemory is how long a report of refused work counts.
	yieldMemory = 300 * time.Millisecond
	// yieldGrowth and yieldDecline are the changes of the share of less urgent work that is refused,
	// per second, while more urgent work is refused somewhere and afterwards. The share grows to 1
	// within a target of a second. A faster decline would have more urgent work refused each time
	// it falls below what the backend servers leave, and a slower one leaves slots idle.
	yieldGrowth  = 1.5
	yieldDecline = 0.1
)

// Urgency orders requests by how urgent they are.
type Urgency[U any] interface {
	// Before reports whether the receiver is more urgent than the argument.
	Before(U) bool
}

// Yield is the share of less urgent requests that is refused so that more urgent ones, which are
// refused for lack of room here or at other instances, get it. It answers an overload in which
// instances with little urgent work would fill the backend servers with other work.
type Yield[U Urgency[U]] struct {
	// level is the urgency of the most urgent requests that were refused lately.
	level U
	// share is the share at sharedAt, from 0 to 1, of less urgent requests to refuse.
	share    float64
	sharedAt time.Time
	// refusedAt is when requests of level were last refused; zero means never.
	refusedAt time.Time
}

// WithRefusal returns y after a request of some urgency was refused for lack of room.
func (y Yield[U]) WithRefusal(now time.Time, level U) Yield[U] {
	y = y.at(now)
	recent := !y.refusedAt.IsZero() && now.Sub(y.refusedAt) < yieldMemory
	if recent && y.level.Before(level) {
		return y
	}
	if y.share == 0 || recent || level.Before(y.level) {
		y.level = level
	}
	if !y.level.Before(level) {
		y.refusedAt = now
	}
	return y
}

// Active reports whether less urgent requests may be refused at now.
func (y Yield[U]) Active(now time.Time) bool {
	return !y.refusedAt.IsZero() && (now.Sub(y.refusedAt) < yieldMemory || y.at(now).share > 0)
}

// Share returns the share of the requests of some urgency to refuse at now.
func (y Yield[U]) Share(now time.Time, level U) float64 {
	if y.refusedAt.IsZero() || !y.level.Before(level) {
		return 0
	}
	return y.at(now).share
}

// at returns y with its share at now.
func (y Yield[U]) at(now time.Time) Yield[U] {
	if y.refusedAt.IsZero() || !now.After(y.sharedAt) {
		y.sharedAt = now
		return y
	}
	end := y.refusedAt.Add(yieldMemory)
	grown := max(0, min(now.Sub(y.sharedAt), end.Sub(y.sharedAt)))
	declined := now.Sub(y.sharedAt) - grown
	y.share = min(1, y.share+yieldGrowth*grown.Seconds())
	y.share = max(0, y.share-yieldDecline*declined.Seconds())
	y.sharedAt = now
	return y
}
