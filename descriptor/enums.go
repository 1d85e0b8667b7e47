// Package descriptor describes what goes into and comes out of the decisions of
// an entry instance: events, actions, and the messages between instances.
package descriptor

// Outcome tells what is known of whether work ran on a backend server.
type Outcome int

// Outcomes of a request.
const (
	NotRun Outcome = iota
	MayHaveRun
	Ran
)

// String returns the outcome as callers read it.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	}
	return "ran"
}

// Reason tells why a request ended as it did.
type Reason int

// Reasons of the end of a request. Served is the only one that is no refusal.
const (
	Served Reason = iota
	UnknownService
	UnknownRoute
	ServiceClosing
	ServiceClosed
	Misdirected
	Overloaded
	Expired
	NoBackend
	KeyMissing
	KeyInvalid
	KeyBusy
	KeyUsed
	KeyUnsettled
	ClaimUnavailable
	Poisoned
	BackendFailed
	AnswerCut
	Abandoned
	Starting
	Unsupported
	reasonCount
)

var reasonNames = [reasonCount]string{
	Served:           "served",
	UnknownService:   "unknown-service",
	UnknownRoute:     "unknown-route",
	ServiceClosing:   "service-closing",
	ServiceClosed:    "service-closed",
	Misdirected:      "misdirected",
	Overloaded:       "overloaded",
	Expired:          "deadline-expired",
	NoBackend:        "no-backend",
	KeyMissing:       "key-missing",
	KeyInvalid:       "key-invalid",
	KeyBusy:          "key-busy",
	KeyUsed:          "key-used",
	KeyUnsettled:     "key-unsettled",
	ClaimUnavailable: "claim-unavailable",
	Poisoned:         "poisoned",
	BackendFailed:    "backend-failed",
	AnswerCut:        "answer-cut",
	Abandoned:        "abandoned",
	Starting:         "starting",
	Unsupported:      "unsupported",
}

// String returns the reason as callers and reports read it.
func (r Reason) String() string {
	if r < 0 || r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Reasons returns every reason in order.
func Reasons() []Reason {
	result := make([]Reason, reasonCount)
	for i := range result {
		result[i] = Reason(i)
	}
	return result
}

// Fault is how an attempt at a backend server failed.
type Fault int

// Faults of an attempt.
const (
	// FaultConnect means that no connection was made: nothing was sent.
	FaultConnect Fault = iota
	// FaultShed means that the backend server itself declared the work not run.
	FaultShed
	// FaultBroken means that the connection broke before an answer began.
	FaultBroken
	// FaultCut means that the answer broke off.
	FaultCut
	// FaultSource means that the caller's body could not be read to its end.
	FaultSource
	// FaultStatus means an answer with a 5xx status.
	FaultStatus
	// FaultForeign means that another backend server has the address and did not
	// run the work.
	FaultForeign
)

// String returns the name used in logs and dumps.
func (f Fault) String() string {
	names := [...]string{"connect", "shed", "broken", "cut", "source", "status", "foreign"}
	if f < 0 || int(f) >= len(names) {
		return "unknown"
	}
	return names[f]
}

// Health is what a backend server says of itself in its answers.
type Health int

// Health values of a backend server.
const (
	HealthUnknown Health = iota
	HealthReady
	HealthCold
	HealthDraining
)

// String returns the name used in answer headers.
func (h Health) String() string {
	names := [...]string{"unknown", "ready", "cold", "draining"}
	if h < 0 || int(h) >= len(names) {
		return "unknown"
	}
	return names[h]
}

// ParseHealth returns the health with the given name, or HealthUnknown.
func ParseHealth(name string) Health {
	for h := HealthReady; h <= HealthDraining; h++ {
		if h.String() == name {
			return h
		}
	}
	return HealthUnknown
}

// Liveness is what instances agree on about an instance.
type Liveness int

// Liveness values; of two records with equal versions the larger one wins.
const (
	Alive Liveness = iota
	Suspect
	Dead
	Left
)

// String returns the name used in dumps.
func (l Liveness) String() string {
	names := [...]string{"alive", "suspect", "dead", "left"}
	if l < 0 || int(l) >= len(names) {
		return "unknown"
	}
	return names[l]
}
