// Package descriptor defines the inputs and outputs of the decision state machine
// of an entry instance: events, actions, and the messages between instances.
package descriptor

// Outcome states whether the work of a request ran on a backend server.
type Outcome int

// Outcomes of a request.
const (
	// NotRun means that the work certainly did not run.
	NotRun Outcome = iota
	// MayHaveRun means that the work was sent and its result is unknown.
	MayHaveRun
	// Ran means that the work ran.
	Ran
)

// String returns the name used in responses to callers and in reports.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	}
	return "ran"
}

// Reason states why a request ended.
type Reason int

// Reasons for the end of a request. Every reason but Served means that the caller got
// no complete response of a backend server.
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
	// UploadsFull means that the instance has no memory left to pass the body on.
	UploadsFull
	// Unauthorized means that the request carries no API key of a customer.
	Unauthorized
	// StaleConfiguration means that the instance can't prove that its configuration is recent
	// enough to tell whether the API key was withdrawn.
	StaleConfiguration
	// QuotaExceeded means that the customer has used up its quota.
	QuotaExceeded
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
	UploadsFull:      "uploads-full",

	Unauthorized:       "unauthorized",
	StaleConfiguration: "stale-configuration",
	QuotaExceeded:      "quota-exceeded",
}

// String returns the name used in responses to callers and in reports.
func (r Reason) String() string {
	if r < 0 || r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Reasons returns all reasons in ascending order.
func Reasons() []Reason {
	result := make([]Reason, reasonCount)
	for i := range result {
		result[i] = Reason(i)
	}
	return result
}

// Fault classifies the failure of an attempt at a backend server.
type Fault int

// Faults of an attempt.
const (
	// FaultConnect means that no connection was established and nothing was sent.
	FaultConnect Fault = iota
	// FaultShed means that the backend server refused the work and declared that
	// it did not run.
	FaultShed
	// FaultBroken means that the connection broke before the response began.
	FaultBroken
	// FaultTruncated means that the response was truncated.
	FaultTruncated
	// FaultRequestBody means that the body of the caller's request could not be read
	// completely.
	FaultRequestBody
	// FaultStatus means that the response had a 5xx status, or one that tells callers of
	// non-idempotent work that it did not run although the backend server did not state that.
	FaultStatus
	// FaultWrongBackend means that a different backend server answered at the address
	// and did not run the work.
	FaultWrongBackend
	// FaultWithdrawn means that nothing was sent, because the caller had left.
	FaultWithdrawn
)

// MayHaveRun reports whether the work may have run in spite of the fault.
func (f Fault) MayHaveRun() bool {
	switch f {
	case FaultConnect, FaultShed, FaultWrongBackend, FaultWithdrawn:
		return false
	}
	return true
}

// String returns the name used in logs and dumps.
func (f Fault) String() string {
	names := [...]string{"connect", "shed", "broken", "cut", "source", "status", "foreign", "withdrawn"}
	if f < 0 || int(f) >= len(names) {
		return "unknown"
	}
	return names[f]
}

// Health is the state that a backend server reports in its responses.
type Health int

// Health values of a backend server.
const (
	HealthUnknown Health = iota
	HealthReady
	HealthCold
	HealthDraining
)

// String returns the name used in response headers.
func (h Health) String() string {
	names := [...]string{"unknown", "ready", "cold", "draining"}
	if h < 0 || int(h) >= len(names) {
		return "unknown"
	}
	return names[h]
}

// ParseHealth returns the health with the given name, or HealthUnknown if there
// is none.
func ParseHealth(name string) Health {
	for h := HealthReady; h <= HealthDraining; h++ {
		if h.String() == name {
			return h
		}
	}
	return HealthUnknown
}

// Liveness is the membership state of an instance that the fleet agrees on.
type Liveness int

// Liveness values. Of two records with equal versions the larger value wins.
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
