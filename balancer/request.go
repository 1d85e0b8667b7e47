package balancer

import (
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/retrier"
)

// parallel is the number of attempts of one request that may be open at once.
const parallel = 2

// attempt is one try of a request at a backend server.
type attempt struct {
	id      descriptor.AttemptID
	backend string
	// clock is when the backend server had the whole request; zero while its
	// body is on the way.
	clock time.Time
	// answered tells that the head of the answer came.
	answered bool
	// late tells that the attempt was held against its backend server because it
	// ran for so long.
	late bool
}

// request is the record of a request that has not ended.
type request struct {
	id    descriptor.RequestID
	class int
	label string
	// caller, fingerprint, replayable, size and deadline are as in Arrived.
	caller      string
	fingerprint uint64
	replayable  bool
	body        bool
	size        int64
	deadline    time.Time
	arrived     time.Time
	// expires is when the request is refused if it is still queued.
	expires time.Time
	// attempts holds the open attempts in its first count entries.
	attempts [parallel]attempt
	count    int
	// last is the ID of the newest attempt, 0 before the first.
	last descriptor.AttemptID
	// tried lists the backend servers of all attempts.
	tried [retrier.MaxTries]string
	// unrun counts the attempts that are known not to have run.
	unrun int
	// delivered is the attempt whose answer goes to the caller, or 0.
	delivered descriptor.AttemptID
	// uncertain tells that an ended attempt may have run.
	uncertain bool
	// gone tells that the caller left.
	gone bool
	// queued tells that the request waits for a slot.
	queued bool
	// status is the HTTP status delivered.
	status int
}

// WithAttempt returns r with a new open attempt at a backend server.
func (r request) WithAttempt(backend string, now time.Time) request {
	a := attempt{id: r.last + 1, backend: backend}
	if !r.body {
		a.clock = now
	}
	r.attempts[r.count] = a
	r.tried[r.last] = backend
	r.count++
	r.last++
	r.queued = false
	return r
}

// WithoutAttempt returns r without the open attempt at index i.
func (r request) WithoutAttempt(i int) request {
	r.count--
	r.attempts[i] = r.attempts[r.count]
	r.attempts[r.count] = attempt{}
	return r
}

// WithClock returns r with the clock of the attempt at index i set.
func (r request) WithClock(i int, t time.Time) request {
	r.attempts[i].clock = t
	return r
}

// WithLate returns r with the attempt at index i found far too long.
func (r request) WithLate(i int) request {
	r.attempts[i].late = true
	return r
}

// WithAnswer returns r with the attempt at index i answered.
func (r request) WithAnswer(i int) request {
	r.attempts[i].answered = true
	return r
}

// WithDelivery returns r with the answer of an attempt on its way to the caller.
func (r request) WithDelivery(id descriptor.AttemptID, status int) request {
	r.delivered = id
	r.status = status
	return r
}

// WithoutRun returns r after an attempt that did not run.
func (r request) WithoutRun() request {
	r.unrun++
	return r
}

// WithUncertainty returns r after an attempt that may have run.
func (r request) WithUncertainty() request {
	r.uncertain = true
	return r
}

// WithQueued returns r waiting for a slot until it expires.
func (r request) WithQueued(expires time.Time) request {
	r.queued = true
	r.expires = expires
	return r
}

// WithGone returns r after its caller left.
func (r request) WithGone() request {
	r.gone = true
	return r
}

// find returns the index of an open attempt, or -1.
func (r request) find(id descriptor.AttemptID) int {
	for i := range r.count {
		if r.attempts[i].id == id {
			return i
		}
	}
	return -1
}

// triedAt tells whether an attempt was made at a backend server.
func (r request) triedAt(backend string) bool {
	for i := range int(r.last) {
		if r.tried[i] == backend {
			return true
		}
	}
	return false
}

// outcome returns what is known of a request that ends without an answer.
func (r request) outcome() descriptor.Outcome {
	if r.uncertain || r.count > 0 {
		return descriptor.MayHaveRun
	}
	return descriptor.NotRun
}
