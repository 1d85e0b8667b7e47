package descriptor

import "time"

// Action is one output of the decisions.
type Action interface{ action() }

// RequestAction is an action that the traffic goroutine of a request obeys.
type RequestAction interface {
	Action
	// For returns the request.
	For() RequestID
}

// Dispatch sends a request to a backend server.
type Dispatch struct {
	Request RequestID
	Attempt AttemptID
	Backend Backend
}

// Deliver passes the answer of an attempt to the caller.
type Deliver struct {
	Request RequestID
	Attempt AttemptID
}

// Cancel ends an attempt.
type Cancel struct {
	Request RequestID
	Attempt AttemptID
}

// Refuse ends a request without an answer from a backend server.
type Refuse struct {
	Request RequestID
	Reason  Reason
	Outcome Outcome
	// Retry is when sending again may help; zero means not at all.
	Retry time.Duration
}

// Probe asks whether a backend server accepts connections.
type Probe struct {
	Service string
	Backend Backend
	// Suspected tells that connections to it just broke.
	Suspected bool
}

// Send passes a message to an instance.
type Send struct {
	To      Member
	Message Message
}

// Connect names the instances to hold links to.
type Connect struct{ Peers []Member }

// Publish replaces the directory that traffic reads.
type Publish struct{ Directory *Directory }

// Write asks for a compare-and-swap write of a document in the platform's
// store. Expect is the revision to replace; 0 means none.
type Write struct {
	Write    WriteID
	Document Document
	Expect   uint64
}

// WriteTallies asks for a compare-and-swap write of a service's tallies.
type WriteTallies struct {
	Write   WriteID
	Service string
	Writer  int
	Tallies []Tally
	Expect  uint64
}

// WriteClaim asks for the creation of a claim on a key in the platform's store.
type WriteClaim struct {
	Write   WriteID
	Service string
	Key     string
	// Instance and Incarnation identify the claimant.
	Instance    string
	Incarnation int64
}

// Watch says whether this instance follows the platform's store.
type Watch struct{ Active bool }

// Note reports a numbered event for the log.
type Note struct {
	Number  int
	Service string
	Subject string
	Detail  string
}

// Leave tells that the instance has nothing left to do.
type Leave struct{}

func (Dispatch) action()     {}
func (Deliver) action()      {}
func (Cancel) action()       {}
func (Refuse) action()       {}
func (Probe) action()        {}
func (Send) action()         {}
func (Connect) action()      {}
func (Publish) action()      {}
func (Write) action()        {}
func (WriteTallies) action() {}
func (WriteClaim) action()   {}
func (Watch) action()        {}
func (Note) action()         {}
func (Leave) action()        {}

// For implements RequestAction.
func (a Dispatch) For() RequestID { return a.Request }

// For implements RequestAction.
func (a Deliver) For() RequestID { return a.Request }

// For implements RequestAction.
func (a Cancel) For() RequestID { return a.Request }

// For implements RequestAction.
func (a Refuse) For() RequestID { return a.Request }
