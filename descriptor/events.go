package descriptor

import "time"

// Event is one input of the decision state machine.
type Event interface {
	// When returns the time of the event.
	When() time.Time
}

// Arrived reports a new request from a caller.
type Arrived struct {
	At      time.Time
	Request RequestID
	Service string
	Class   string
	// Caller identifies the caller for fair queueing.
	Caller string
	// Customer is the name of the customer whose API key the request carries, or empty.
	// CustomerRank is its rank.
	Customer     string `json:",omitempty"`
	CustomerRank int    `json:",omitempty"`
	// Public reports whether the request needs no customer although others do.
	Public bool `json:",omitempty"`
	// Routing is the version of the routing in which the route and the customer were looked
	// up, or 0.
	Routing uint64 `json:",omitempty"`
	// Uptime is the uptime of the machine when the request had arrived; see Received.
	Uptime time.Duration `json:",omitempty"`
	// Key is the idempotency key, or empty.
	Key string
	// Fingerprint is a hash that is equal for requests for the same work. Their bodies may
	// differ.
	Fingerprint uint64
	// Content is a hash of the body, or 0 if the body is not known yet.
	Content uint64 `json:",omitempty"`
	// Replayable reports whether the request can be sent more than once.
	Replayable bool
	// NoMemory reports whether the instance has no memory left to pass the body on.
	NoMemory bool `json:",omitempty"`
	// Body reports whether the request has a body.
	Body bool
	// Size is the length of the body in bytes, or negative if it is unknown.
	Size int64 `json:",omitempty"`
	// Deadline is the time at which the caller stops waiting; zero means none.
	Deadline time.Time
	// Label is the caller's own identifier of the request, used in logs.
	Label string `json:",omitempty"`
}

// Sent reports that the whole body of a request was sent to the backend server.
type Sent struct {
	At      time.Time
	Request RequestID
	Attempt AttemptID
}

// Answered reports that the header of a backend server's response arrived.
type Answered struct {
	At      time.Time
	Request RequestID
	Attempt AttemptID
	Status  int
	Health  Health
	Load    Load `json:",omitzero"`
	// Pause is how long the backend server wants no requests of this instance.
	Pause time.Duration `json:",omitzero"`
	// Limit is how many requests a second the backend server takes from all instances
	// together; 0 means that it named no limit.
	Limit float64 `json:",omitzero"`
}

// Finished reports that the whole response was sent to the caller. Bytes is the
// length of the response body.
type Finished struct {
	At      time.Time
	Request RequestID
	Attempt AttemptID
	Bytes   uint64
}

// Failed reports that an attempt ended without a complete response.
type Failed struct {
	At      time.Time
	Request RequestID
	Attempt AttemptID
	Fault   Fault
	Health  Health
	// BodyReplayable reports whether the body of the caller's request can be sent
	// again from its start.
	BodyReplayable bool
	// Content is as in Arrived.
	Content uint64 `json:",omitempty"`
	// Load is the load that the backend server reported, for FaultShed.
	Load Load `json:",omitzero"`
	// Pause and Limit are as in Answered. They are known only for FaultShed.
	Pause time.Duration `json:",omitzero"`
	Limit float64       `json:",omitzero"`
}

// Probed reports the result of the connection check requested by Probe.
type Probed struct {
	At      time.Time
	Service string
	Backend string
	// Suspected is copied from the Probe action.
	Suspected bool
	// Alive reports whether the backend server accepted the connection.
	Alive bool
}

// CallerGone reports that the caller disconnected before the response was complete.
type CallerGone struct {
	At      time.Time
	Request RequestID
}

// Unlocated reports that a request was refused before it was passed on, because no service or
// class was found for it in the directory.
type Unlocated struct {
	At      time.Time
	Request RequestID
	// Label is the caller's identifier of the request.
	Label  string
	Reason Reason
	// Version is the version of the routing in the directory that was used, or 0.
	Version uint64
	// Latency is the time since the request arrived.
	Latency time.Duration
}

// Ticked is the periodic timer event.
type Ticked struct {
	At time.Time
	// Uptime is as in Received.
	Uptime time.Duration `json:",omitempty"`
}

// Received reports a message from another instance.
type Received struct {
	At      time.Time
	From    string
	Message Message
	// Uptime is the uptime of the machine when the message had arrived, including the time for
	// which the machine was suspended. At may leave that out.
	Uptime time.Duration `json:",omitempty"`
}

// LinkOpened reports that a link to an instance is open.
type LinkOpened struct {
	At   time.Time
	Peer Member
	// Known is the number of live members that the peer knows, or 0 if it did not tell.
	Known int `json:",omitempty"`
	// Types is the largest message type that the peer decodes, or 0 if it did not tell.
	Types MessageType `json:",omitempty"`
}

// LinkClosed reports that the last link to an instance is closed.
type LinkClosed struct {
	At   time.Time
	Peer string
}

// DocumentsRead reports documents read from the platform's store.
type DocumentsRead struct {
	At        time.Time
	Documents []Document
	// Complete reports whether Documents holds all documents of Kind in the
	// store.
	Complete bool
	Kind     Kind
	// AsOf is the time at which the store held nothing newer of Kind, and
	// Revision is the store's revision at that time.
	AsOf     time.Time `json:",omitzero"`
	Revision uint64    `json:",omitzero"`
	// Uptime is the uptime of the machine at the start of the call, and Seen that at the time
	// AsOf; see Received. They are 0 if that is not known.
	Uptime time.Duration `json:",omitempty"`
	Seen   time.Duration `json:",omitempty"`
	// Unreadable reports whether a document of this kind was removed or could not be decoded, so
	// that the store may hold another one than the last one read.
	Unreadable bool `json:",omitempty"`
}

// Written reports the result of a write to the platform's store.
type Written struct {
	At    time.Time
	Write WriteID
	// Result is the result of the write.
	Result WriteResult
	// Revision is the new revision of an accepted write.
	Revision uint64
	// Current is the document found instead of the expected one, for
	// WriteConflict.
	Current Document
	// Tallies holds the tallies found instead of the expected ones, for
	// WriteConflict.
	Tallies []Tally
}

// SettingsChanged reports the settings of the decisions that can change while an instance
// runs.
type SettingsChanged struct {
	At time.Time
	// Grace is the time from the shutdown request until the platform kills the process; 0
	// means that it never does.
	Grace time.Duration
	// RetryRatio, RetryExtra and RetryWindow bound the retries of all instances
	// together; see retrier.Bounds.
	RetryRatio, RetryExtra float64
	RetryWindow            time.Duration
	// Withdraw is how old the proof of a recent routing may be for work with an API key; 0 means
	// that none is needed.
	Withdraw time.Duration
}

// ShutdownRequested reports that a shutdown of the instance was requested.
type ShutdownRequested struct{ At time.Time }

// WriteID identifies a write within one incarnation of an instance.
type WriteID uint64

// WriteResult is the result of a write to the platform's store.
type WriteResult int

// Results of writes.
const (
	WriteAccepted WriteResult = iota
	// WriteConflict means that the store held another revision than expected.
	WriteConflict
	// WriteUnavailable means that the write was not made.
	WriteUnavailable
	// WriteUnknown means that the reply was lost and the write may have happened.
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
func (e SettingsChanged) When() time.Time { return e.At }

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
func (e Unlocated) When() time.Time { return e.At }

// When implements Event.
func (e CallerGone) When() time.Time { return e.At }

// When implements Event.
func (e Ticked) When() time.Time { return e.At }

// When implements Event.
func (e Received) When() time.Time { return e.At }

// When implements Event.
func (e LinkOpened) When() time.Time { return e.At }

// When implements Event.
func (e LinkClosed) When() time.Time { return e.At }

// When implements Event.
func (e DocumentsRead) When() time.Time { return e.At }

// When implements Event.
func (e Written) When() time.Time { return e.At }

// When implements Event.
func (e ShutdownRequested) When() time.Time { return e.At }
