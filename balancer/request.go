package balancer

import (
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/retrier"
)

// maxOpenAttempts is the number of attempts of one request that may be open at the same
// time.
const maxOpenAttempts = 2

// attempt is one attempt to serve a request at a backend server.
type attempt struct {
	id      descriptor.AttemptID
	backend string
	// sentAt is when the backend server had received the whole request. Zero means
	// that the body is still being sent.
	sentAt time.Time
	// answered is set when the head of the answer was received.
	answered bool
	// late is set when the attempt was counted as a failure because it runs far too
	// long.
	late bool
}

// request holds the state of a request that has not ended.
type request struct {
	id    descriptor.RequestID
	class int
	label string
	// caller, fingerprint, replayable, body, size and deadline are as in
	// descriptor.Arrived.
	caller      string
	fingerprint uint64
	// customer and customerRank are as in descriptor.Arrived.
	customer     string
	customerRank int
	// content is a hash of the body, or 0 if it is not known.
	content    uint64
	replayable bool
	// once is set if the work was not idempotent when it arrived. A later declaration may call
	// its class idempotent.
	once     bool
	body     bool
	size     int64
	deadline time.Time
	arrived  time.Time
	// expires is when the request is refused if it is still queued.
	expires time.Time
	// attempts holds the open attempts in its first count entries.
	attempts [maxOpenAttempts]attempt
	count    int
	// last is the ID of the newest attempt, or 0 before the first.
	last descriptor.AttemptID
	// tried lists the backend servers of all attempts in order.
	tried [retrier.MaxTries]string
	// notRun counts the attempts that are known not to have run.
	notRun int
	// delivered is the ID of the attempt whose answer goes to the caller, or 0.
	delivered descriptor.AttemptID
	// mayHaveRun is set when an ended attempt may have run.
	mayHaveRun bool
	// callerGone is set when the caller has disconnected.
	callerGone bool
	// queued is set while the request waits for a slot.
	queued bool
	// reserved is set while a retry of the budget is reserved for the request.
	reserved bool
	// status is the HTTP status delivered to the caller.
	status int
}

// level returns the level of urgency of r.
func (r request) level() level { return level{customer: r.customerRank, class: r.class} }

// owner returns by whom r shares the room: its customer, or its caller if it has none.
func (r request) owner() string {
	if r.customer != "" {
		return r.customer
	}
	return r.caller
}

// WithAttempt returns r with a new open attempt at a backend server.
func (r request) WithAttempt(backend string, now time.Time) request {
	a := attempt{id: r.last + 1, backend: backend}
	if !r.body {
		a.sentAt = now
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

// WithSentAt returns r with the attempt at index i sent completely at t.
func (r request) WithSentAt(i int, t time.Time) request {
	r.attempts[i].sentAt = t
	return r
}

// WithLate returns r with the attempt at index i marked as late.
func (r request) WithLate(i int) request {
	r.attempts[i].late = true
	return r
}

// WithAnswer returns r with the attempt at index i marked as answered.
func (r request) WithAnswer(i int) request {
	r.attempts[i].answered = true
	return r
}

// WithDelivery returns r while the answer of an attempt is delivered to the caller.
func (r request) WithDelivery(id descriptor.AttemptID, status int) request {
	r.delivered = id
	r.status = status
	return r
}

// WithReserved returns r with or without a reserved retry.
func (r request) WithReserved(reserved bool) request {
	r.reserved = reserved
	return r
}

// WithNotRun returns r after an attempt that did not run.
func (r request) WithNotRun() request {
	r.notRun++
	return r
}

// WithMayHaveRun returns r after an attempt that may have run.
func (r request) WithMayHaveRun() request {
	r.mayHaveRun = true
	return r
}

// WithQueued returns r waiting for a slot until expires.
func (r request) WithQueued(expires time.Time) request {
	r.queued = true
	r.expires = expires
	return r
}

// WithCallerGone returns r after its caller disconnected.
func (r request) WithCallerGone() request {
	r.callerGone = true
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

// triedAt reports whether r was sent to a backend server before.
func (r request) triedAt(backend string) bool {
	for i := range int(r.last) {
		if r.tried[i] == backend {
			return true
		}
	}
	return false
}

// outcome returns the outcome of a request that ends without an answer.
func (r request) outcome() descriptor.Outcome {
	if r.mayHaveRun || r.count > 0 {
		return descriptor.MayHaveRun
	}
	return descriptor.NotRun
}
