package descriptor

import "time"

// Dump is the state of an instance at one instant.
type Dump struct {
	At        time.Time
	Instance  Member
	Ready     bool
	Leaving   bool
	Watching  bool
	Links     []string
	Members   []Member
	Documents []Reference
	Declared  []DeclaredDump
	Services  []ServiceDump
	Keys      KeyDump
	Pending   int
	Notes     []Note
}

// DeclaredDump tells which revision of a declaration is in force.
type DeclaredDump struct {
	Name     string
	Revision uint64
	// Accepted is when the store accepted the revision, and InForce when it
	// came into force here.
	Accepted, InForce time.Time
}

// ServiceDump is the state of a served service.
type ServiceDump struct {
	Name      string
	Revision  uint64
	State     string
	Floor     int
	Live      int
	Serving   []string
	Classes   []ClassDump
	Backends  []BackendDump
	Ejections []Ejection
	// Refused tells why convicted backend servers are not ejected.
	Refused string
	Budget  float64
	Suspect int
	Tally   Tally
}

// ClassDump is the state of one class of work.
type ClassDump struct {
	Name     string
	Queued   int
	InFlight int
	Limit    int
	Median   time.Duration
	Tail     time.Duration
}

// BackendDump is the state of one backend server as an instance sees it.
type BackendDump struct {
	ID       string
	Address  string
	Share    int
	Borrowed int
	Lent     int
	InFlight int
	Long     int
	State    string
	Local    float64
	Fleet    float64
	Avoided  bool
}

// KeyDump is the state of the idempotency keys.
type KeyDump struct {
	Held    int
	Parked  int
	Dropped uint64
}
