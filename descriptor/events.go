package descriptor

import "time"

// Event is one input of the decisions.
type Event interface {
	// When returns the present time at the event.
	When() time.Time
}

// Arrived is a request from a caller.
type Arrived struct {
	At      time.Time
	Request RequestID
	Service string
	Class   string
	// Caller separates callers for fair shares.
	Caller string
	// Key is the idempotency key or empty.
	Key string
	// Fingerprint is equal for requests that would do the same work.
	Fingerprint uint64
	// Replayable tells that the request can be sent more than once.
	Replayable bool
	// Body tells that the request has a body.
	Body bool
	// Size is the number of bytes of the body, or negative if it is not known.
	Size int64 `json:",omitempty"`
	// Deadline is when the caller stops waiting; zero means none.
	Deadline time.Time
	// Label is the caller's own identifier of the request, for logs.
	Label string `json:",omitempty"`
}

// Sent tells that the whole body of a request went to the backend server.
type Sent struct {
	At      time.Time
	Request RequestID
	Attempt AttemptID
}

// Answered tells that the head of a backend server's answer came.
type Answered struct {
	At      time.Time
	Request RequestID
	Attempt AttemptID
	Status  int
	Health  Health
	Load    Load `json:",omitzero"`
}

// Finished tells that the whole answer went to the caller.
type Finished struct {
	At      time.Time
	Request RequestID
	Attempt AttemptID
	Bytes   uint64
}

// Failed tells that an attempt ended without a whole answer.
type Failed struct {
	At      time.Time
	Request RequestID
	Attempt AttemptID
	Fault   Fault
	Health  Health
	// Untouched tells that the caller's body can be sent again from its start.
	Untouched bool
	// Load is what the backend server said of its load, for FaultShed.
	Load Load `json:",omitzero"`
}

// Probed is the result of a connection made to a backend server for Probe.
type Probed struct {
	At      time.Time
	Service string
	Backend string
	// Suspected is that of the probe.
	Suspected bool
	// Alive tells that it accepted the connection.
	Alive bool
}

// Gone tells that the caller went away before the whole answer.
type Gone struct {
	At      time.Time
	Request RequestID
}

// Ticked drives everything that depends on time alone.
type Ticked struct{ At time.Time }

// Received is a message from another instance.
type Received struct {
	At      time.Time
	From    string
	Message Message
}

// LinkOpened tells that a link to an instance stands.
type LinkOpened struct {
	At   time.Time
	Peer Member
}

// LinkClosed tells that the last link to an instance is gone.
type LinkClosed struct {
	At   time.Time
	Peer string
}

// Learned is a document read from the platform.
type Learned struct {
	At        time.Time
	Documents []Document
	// Complete tells that Documents is everything the platform has of Kind.
	Complete bool
	Kind     Kind
	// AsOf is the time as of which nothing newer of Kind was there, and Revision
	// the revision of the store then.
	AsOf     time.Time `json:",omitzero"`
	Revision uint64    `json:",omitzero"`
}

// Written is the result of a write to the platform's store.
type Written struct {
	At    time.Time
	Write WriteID
	// Result tells how the write ended.
	Result WriteResult
	// Revision is the new revision of an accepted write.
	Revision uint64
	// Current is the document found in place of the expected one.
	Current Document
	// Tallies is the tally value found in place of the expected one.
	Tallies []Tally
}

// Quit asks the instance to leave.
type Quit struct{ At time.Time }

// WriteID identifies a write of one incarnation.
type WriteID uint64

// WriteResult tells how a write ended.
type WriteResult int

// Results of writes.
const (
	WriteAccepted WriteResult = iota
	WriteConflict
	WriteUnavailable
	WriteUnknown
)

// String returns the name used in dumps.
func (w WriteResult) String() string {
	names := [...]string{"accepted", "conflict", "unavailable", "unknown"}
	if w < 0 || int(w) >= len(names) {
		return "unknown"
	}
	return names[w]
}

// When implements Event.
func (e Arrived) When() time.Time { return e.At }

// When implements Event.
func (e Sent) When() time.Time { return e.At }

// When implements Event.
func (e Probed) When() time.Time { return e.At }

// When implements Event.
func (e Answered) When() time.Time { return e.At }

// When implements Event.
func (e Finished) When() time.Time { return e.At }

// When implements Event.
func (e Failed) When() time.Time { return e.At }

// When implements Event.
func (e Gone) When() time.Time { return e.At }

// When implements Event.
func (e Ticked) When() time.Time { return e.At }

// When implements Event.
func (e Received) When() time.Time { return e.At }

// When implements Event.
func (e LinkOpened) When() time.Time { return e.At }

// When implements Event.
func (e LinkClosed) When() time.Time { return e.At }

// When implements Event.
func (e Learned) When() time.Time { return e.At }

// When implements Event.
func (e Written) When() time.Time { return e.At }

// When implements Event.
func (e Quit) When() time.Time { return e.At }
