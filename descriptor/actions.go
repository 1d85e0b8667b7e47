package descriptor

import "time"

// Action is one output of the decision state machine.
type Action interface{ action() }

// RequestAction is an action that the traffic goroutine of a request carries out.
type RequestAction interface {
	Action
	// ForRequest returns the ID of the request that the action belongs to.
	ForRequest() RequestID
}

// Dispatch sends a request to a backend server.
type Dispatch struct {
	Request RequestID
	Attempt AttemptID
	Backend Backend
}

// Deliver forwards the response of an attempt to the caller.
type Deliver struct {
	Request RequestID
	Attempt AttemptID
}

// Cancel aborts an attempt that is still open.
type Cancel struct {
	Request RequestID
	Attempt AttemptID
}

// Refuse ends a request without a response from a backend server.
type Refuse struct {
	Request RequestID
	Reason  Reason
	Outcome Outcome
	// Retry is the time after which the caller may send the request again; zero
	// means that a retry does not help.
	Retry time.Duration
}

// Probe requests a connection check of a backend server. The result comes back
// as Probed.
type Probe struct {
	Service string
	Backend Backend
	// Suspected is set when connections to the backend server have just broken.
	Suspected bool
}

// Send sends a message to an instance.
type Send struct {
	To      Member
	Message Message
}

// Spread sends a crash report to all instances. It does not leave the state machine, which
// sends the report along a tree.
type Spread struct{ Report CrashReport }

// Connect lists the instances that links are to be kept open to.
type Connect struct {
	Peers []Member
	// Known is the number of live members that this instance knows.
	Known int `json:"-"`
}

// Publish replaces the directory that the traffic goroutines read.
type Publish struct{ Directory *Directory }

// Write requests a compare-and-swap write of a document to the platform's
// store. Expect is the revision to replace; 0 means that the key must not exist.
type Write struct {
	Write    WriteID
	Document Document
	Expect   uint64
}

// WriteTallies requests a compare-and-swap write of a service's tallies. Expect
// is the revision to replace; 0 means that the key must not exist.
type WriteTallies struct {
	Write   WriteID
	Service string
	Writer  int
	Tallies []Tally
	Expect  uint64
}

// WriteClaim requests the creation of a claim on an idempotency key in the
// platform's store.
type WriteClaim struct {
	Write   WriteID
	Service string
	Key     string
	// Instance and Incarnation identify the claimant.
	Instance    string
	Incarnation int64
}

// WriteRegister requests a compare-and-swap write of the register. Expect is the revision to replace; 0
// means that the key must not exist.
type WriteRegister struct {
	Write    WriteID
	Register Register
	Expect   uint64
}

// Watch starts or stops the watch of this instance on the platform's store. With Trial it ends by
// itself with the first call that fails: the instance finds out whether the store serves it.
type Watch struct {
	Active bool
	Trial  bool `json:",omitempty"`
}

// Relocate asks the traffic goroutine of a request to look up its service and class again,
// because the directory that they were taken from is no longer in force. Nothing was decided
// about the request yet.
type Relocate struct{ Request RequestID }

// Note is a numbered log event. docs/EVENTS.md lists the numbers.
type Note struct {
	Number  int
	Service string
	Subject string
	Detail  string
}

// ShutdownComplete reports that the shutdown is complete or its grace period is over,
// so that the process may exit.
type ShutdownComplete struct{}

func (Dispatch) action()         {}
func (Relocate) action()         {}
func (Deliver) action()          {}
func (Cancel) action()           {}
func (Refuse) action()           {}
func (Probe) action()            {}
func (Send) action()             {}
func (Spread) action()           {}
func (Connect) action()          {}
func (Publish) action()          {}
func (Write) action()            {}
func (WriteTallies) action()     {}
func (WriteClaim) action()       {}
func (WriteRegister) action()    {}
func (Watch) action()            {}
func (Note) action()             {}
func (ShutdownComplete) action() {}

// ForRequest implements RequestAction.
func (a Dispatch) ForRequest() RequestID { return a.Request }

// ForRequest implements RequestAction.
func (a Relocate) ForRequest() RequestID { return a.Request }

// ForRequest implements RequestAction.
func (a Deliver) ForRequest() RequestID { return a.Request }

// ForRequest implements RequestAction.
func (a Cancel) ForRequest() RequestID { return a.Request }

// ForRequest implements RequestAction.
func (a Refuse) ForRequest() RequestID { return a.Request }
