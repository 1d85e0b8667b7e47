package descriptor

import "time"

// Dump is the state of an instance at one instant.
type Dump struct {
	At       time.Time
	Instance Member
	Ready    bool
	Leaving  bool
	// Watching reports whether the instance watches the platform's store.
	Watching bool
	// Links lists the IDs of the instances with an open link.
	Links     []string
	Members   []Member
	Documents []Reference
	Declared  []DeclaredDump
	Services  []ServiceDump
	Keys      KeyDump
	Register  RegisterDump
	// Pending is the number of open requests.
	Pending int
	// Notes holds the latest log events, oldest first.
	Notes []Note
}

// DeclaredDump describes the revision of a service declaration that is in force.
type DeclaredDump struct {
	Name     string
	Revision uint64
	// Accepted is the time at which the store accepted the revision; InForce is
	// the time at which it came into force at this instance.
	Accepted, InForce time.Time
}

// ServiceDump is the state of a service that the instance serves.
type ServiceDump struct {
	Name     string
	Revision uint64
	State    string
	// Floor is the number of backend servers that ejection must leave, and Live
	// the number of listed backend servers.
	Floor     int
	Live      int
	Serving   []string
	Classes   []ClassDump
	Backends  []BackendDump
	Ejections []Ejection
	// Refused is the reason why backend servers over the ejection threshold are
	// not ejected, or empty.
	Refused string
	// Budget is the number of retries that may be sent now.
	Budget float64
	// Suspect is the number of request fingerprints with reported crashes.
	Suspect int
	Tally   Tally
}

// ClassDump is the state of one class of work.
type ClassDump struct {
	Name     string
	Queued   int
	InFlight int
	// Limit is the number of slots that the class may use at once.
	Limit int
	// Median and Tail are the 50th and 99th percentile of the latency.
	Median time.Duration
	Tail   time.Duration
}

// BackendDump is the state of one backend server in the view of one instance.
type BackendDump struct {
	ID      string
	Address string
	// Share is the number of slots that the instance owns.
	Share int
	// Borrowed counts the slots leased from other owners, and Lent those leased
	// out to them.
	Borrowed int
	Lent     int
	InFlight int
	// Long counts the open requests of long classes.
	Long  int
	State string
	// Local is the score from the instance's own evidence, and Fleet that from
	// the evidence of all instances. Both are log-likelihood ratios; larger is
	// worse.
	Local float64
	Fleet float64
	// Avoided reports whether the instance prefers other backend servers,
	// without an ejection.
	Avoided bool
	// Limit is how many requests a second the backend server takes from all instances, and
	// LimitRate those of them that this instance may send; 0 without a limit.
	Limit     float64 `json:",omitempty"`
	LimitRate float64 `json:",omitempty"`
}

// KeyDump counts the idempotency keys of an instance: keys held, requests that
// wait for a claim, and an upper bound of the keys dropped to bound memory.
type KeyDump struct {
	Held    int
	Parked  int
	Dropped uint64
}
