package limiter

// Account is an amount that many holders share, up to a limit. What a holder can do without is
// optional: a part of the limit is reserved for what holders need. It is an immutable value.
type Account[N ~int | ~int64] struct {
	// limit bounds held. Optional amounts are granted only while limit - reserved is not
	// exceeded.
	limit, reserved N
	// held is the sum of what was taken and not returned, from 0 to limit.
	held N
}

// NewAccount returns an account of which nothing is held. reserved is from 0 to limit.
func NewAccount[N ~int | ~int64](limit, reserved N) Account[N] {
	return Account[N]{limit: limit, reserved: reserved}
}

// Held returns the amount that is held.
func (a Account[N]) Held() N { return a.held }

// WithNeeded returns a after n was taken by a holder that can't do without it. It returns a and
// false if that would exceed the limit.
func (a Account[N]) WithNeeded(n N) (Account[N], bool) { return a.with(n, a.limit) }

// WithOptional returns a after n was taken by a holder that can do without it. It returns a and
// false if less than the reserved part would be left.
func (a Account[N]) WithOptional(n N) (Account[N], bool) { return a.with(n, a.limit-a.reserved) }

// WithReturned returns a after n of what was taken is returned.
func (a Account[N]) WithReturned(n N) Account[N] {
	a.held -= n
	return a
}

// with returns a after n was taken, or a and false if more than most would be held.
func (a Account[N]) with(n, most N) (Account[N], bool) {
	if n > most-a.held {
		return a, false
	}
	a.held += n
	return a, true
}
