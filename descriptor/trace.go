package descriptor

import "time"

// Trace is one decision about a request with the inputs that decided it.
type Trace struct {
	At      time.Time
	Number  int
	Request RequestID
	Attempt AttemptID
	// Backend is the backend server concerned, or empty.
	Backend string
	// Trust and Load are what was believed of it: the probability that it does
	// not fail the work, and its requests per slot.
	Trust, Load float64
	// Queued and InFlight count the requests of the service here.
	Queued, InFlight int
	// Left is the time that was left, or zero.
	Left time.Duration
	// Status is the status of an answer, or zero.
	Status int
	// Cause is a word or two on the reason, or empty.
	Cause string
}

// Trail is what was decided about a request that ended.
type Trail struct {
	// At is when the request ended.
	At      time.Time
	Request RequestID
	// Label is the caller's own identifier.
	Label          string
	Service, Class string
	// Revision is that of the declaration in force, and Listed that of the list
	// of backend servers.
	Revision, Listed uint64
	// Current is how old the newest confirmation of both was.
	Current time.Duration
	Reason  Reason
	Outcome Outcome
	Latency time.Duration
	Target  time.Duration
	// Lines are in the order of the decisions.
	Lines []Trace
}

// Notable tells whether a trail is of use by itself: its request failed, was
// refused, sent again or slow.
func (t Trail) Notable() bool {
	if t.Reason != Served || t.Latency > t.Target {
		return true
	}
	for _, l := range t.Lines {
		if l.Attempt > 1 || l.Status >= failureStatus {
			return true
		}
	}
	return false
}

// failureStatus is the least HTTP status of a failure of a backend server.
const failureStatus = 500

func (Trace) action() {}
func (Trail) action() {}
