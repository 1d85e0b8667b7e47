package descriptor

import "time"

// TraceEntry is one entry of a request trace: a decision and the inputs it is based on.
type TraceEntry struct {
	At time.Time
	// Number is the number of the log event.
	Number  int
	Request RequestID
	Attempt AttemptID
	// Backend is the backend server concerned, or empty.
	Backend string
	// ServeProbability is the estimated probability that the backend server serves the
	// request, and Load its estimated number of requests per slot.
	ServeProbability, Load float64
	// Queued and InFlight count the requests of the service at this instance.
	Queued, InFlight int
	// TimeLeft is the time left until the deadline, or zero.
	TimeLeft time.Duration
	// Status is the HTTP status of a response, or zero.
	Status int
	// Cause is the reason of the decision in one or two words, or empty.
	Cause string
}

// RequestTrace is the request trace of a request that ended: all decisions about it.
type RequestTrace struct {
	// At is the time at which the request ended.
	At      time.Time
	Request RequestID
	// Label is the caller's own identifier of the request.
	Label          string
	Service, Class string
	// Revision is the revision of the declaration in force, and BackendsRevision that
	// of the list of backend servers.
	Revision, BackendsRevision uint64
	// ConfirmationAge is the time since both revisions were last confirmed to be the
	// newest.
	ConfirmationAge time.Duration
	Reason          Reason
	Outcome         Outcome
	Latency         time.Duration
	// Target is the target latency of the class.
	Target time.Duration
	// Entries holds the entries in the order of the decisions.
	Entries []TraceEntry
}

// Notable reports whether the request was not served, had more than one attempt, had
// a response with a status of at least minFailureStatus, or took longer than its
// target.
func (t RequestTrace) Notable() bool {
	if t.Reason != Served || t.Latency > t.Target {
		return true
	}
	for _, l := range t.Entries {
		if l.Attempt > 1 || l.Status >= minFailureStatus {
			return true
		}
	}
	return false
}

// minFailureStatus is the lowest HTTP status that counts as a failure of a backend
// server.
const minFailureStatus = 500

func (TraceEntry) action()   {}
func (RequestTrace) action() {}
