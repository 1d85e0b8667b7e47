package descriptor

import "monsoonswitch/container"

// Message is one message between instances.
type Message interface {
	// Type returns the number of the message in the inner protocol.
	Type() MessageType
}

// MessageType numbers the messages of the inner protocol.
type MessageType int

// Message types. Numbers are never used again.
const (
	TypeHello MessageType = iota + 1
	TypeHeartbeat
	TypeMembers
	TypeDigest
	TypeReferences
	TypeDocuments
	TypeEvidence
	TypeClaim
	TypeVerdict
	TypeSettle
	TypeCrash
	TypeTally
	TypeReceipt
	TypeRefresh
	TypeDemand
	TypeLoan
	TypeDrain
	TypeInherit
	TypePulse
	TypeOutcomes
	TypeBulletin
)

// Hello opens a link in both directions.
type Hello struct {
	Protocol int
	From     Member
}

// Heartbeat shows that its sender lives.
type Heartbeat struct{ Sequence uint64 }

// Members spreads member records.
type Members struct {
	Records []Member
	// Buckets is the set of buckets of which Records holds every record; the
	// receiver answers with what is missing there.
	Buckets uint64
}

// Digest sums up what its sender holds.
type Digest struct {
	Members   container.Sums
	Documents container.Sums
	// Urgent asks for what differs at once.
	Urgent bool
}

// Pulse tells that nothing newer than the documents with a sum was in the
// platform's store a while ago. It goes down a tree of all instances.
type Pulse struct {
	// Origin and Incarnation identify the instance that follows the store.
	Origin      string
	Incarnation int64
	// Sequence grows with each pulse of an incarnation.
	Sequence uint64
	// Sum is that of all documents.
	Sum uint64
	// Age is how long ago it was, in milliseconds at the time of sending.
	Age int64
}

// Outcomes tells how the last requests at backend servers ended.
type Outcomes struct {
	Service string
	List    []BackendOutcomes
	// Relay asks the receiver to tell the other instances that share the slots.
	Relay bool `cbor:",omitempty"`
	// Unserved counts the requests that ended at the sender without an answer since
	// its last message.
	Unserved int `cbor:",omitempty"`
}

// BackendOutcomes counts how requests at one backend server ended since the last
// message, in order: those that went well before the first failure, the failures
// and those that went well after it.
type BackendOutcomes struct {
	Backend            string
	Before, Bad, After int
	// Late counts the requests that ran far longer than usual.
	Late int `cbor:",omitempty"`
	// Reported tells that the backend server said Age milliseconds ago how much Work
	// of all instances it had.
	Reported bool `cbor:",omitempty"`
	Work     int  `cbor:",omitempty"`
	Age      int  `cbor:",omitempty"`
}

// References lists the documents that its sender holds in a set of buckets; the
// receiver answers with what is missing there.
type References struct {
	List    []Reference
	Buckets uint64
}

// Documents spreads documents.
type Documents struct{ List []Document }

// Refresh asks for the newest documents with the given references from a
// receiver that holds them.
type Refresh struct{ List []Reference }

// Evidence gives its sender's scores of a service's backend servers.
type Evidence struct {
	Service string
	Scores  []Score
}

// Claim asks the instance that issued a key for the right to run it.
type Claim struct {
	Service string
	Key     string
	Request RequestID
}

// Verdict answers a claim. A claim that is not granted carries what is known
// of the earlier run.
type Verdict struct {
	Request RequestID
	// Key is the claimed key with its service, as Settle names it.
	Key     string
	Granted bool
	Reason  Reason
	Outcome Outcome
}

// Settle tells the issuer of a key how a granted run ended.
type Settle struct {
	Key     string
	Outcome Outcome
}

// KeyRecord is what an issuer knows of one key.
type KeyRecord struct {
	Key string
	// State is the state of the key as a number private to package keeper.
	State  int
	Holder string
}

// Inherit passes the keys of an instance that leaves to its heir.
type Inherit struct {
	Instance    string
	Incarnation int64
	// Floor is the newest epoch whose keys may have been forgotten.
	Floor uint64
	Keys  []KeyRecord
	// Last marks the part after which the heir decides about the keys, if it
	// received Total of them.
	Last  bool
	Total int
}

// Crash reports a request after whose dispatch a backend server broke down.
type Crash struct {
	Service     string
	Fingerprint uint64
	// Backend is the backend server that broke down.
	Backend string
	// Cleared takes earlier reports back: the request was answered.
	Cleared bool
}

// Demand says how many slots its sender could use at once beyond its share.
type Demand struct {
	Service string
	Slots   int
}

// Loan lends slots of one backend server for a bounded time.
type Loan struct {
	Service string
	Backend string
	Slots   int
	// Millis is how long the borrower may start work on them, in milliseconds
	// from its receipt of the loan.
	Millis int64
}

// Drain says that a backend server announced its leaving in an answer.
type Drain struct {
	Service string
	Backend string
}

// TallyReport carries a tally to a tally writer.
type TallyReport struct{ Tally Tally }

// Receipt confirms that a tally reached the platform's store.
type Receipt struct {
	Service     string
	Incarnation int64
	Version     uint64
}

// WithOutcome returns o with one request more.
func (o BackendOutcomes) WithOutcome(failed bool) BackendOutcomes {
	switch {
	case failed:
		// What went well between failures does not weigh against them.
		o.Bad++
		o.After = 0
	case o.Bad > 0:
		o.After++
	default:
		o.Before++
	}
	return o
}

// WithOutcomes returns o with the outcomes of p after its own.
func (o BackendOutcomes) WithOutcomes(p BackendOutcomes) BackendOutcomes {
	o.Late += p.Late
	switch {
	case p.Bad > 0:
		if o.Bad == 0 {
			o.Before += p.Before
		}
		o.Bad += p.Bad
		o.After = p.After
	case o.Bad > 0:
		o.After += p.Before
	default:
		o.Before += p.Before
	}
	return o
}

// Type implements Message.
func (Hello) Type() MessageType { return TypeHello }

// Type implements Message.
func (Heartbeat) Type() MessageType { return TypeHeartbeat }

// Type implements Message.
func (Members) Type() MessageType { return TypeMembers }

// Type implements Message.
func (Digest) Type() MessageType { return TypeDigest }

// Type implements Message.
func (References) Type() MessageType { return TypeReferences }

// Type implements Message.
func (Documents) Type() MessageType { return TypeDocuments }

// Type implements Message.
func (Refresh) Type() MessageType { return TypeRefresh }

// Type implements Message.
func (Evidence) Type() MessageType { return TypeEvidence }

// Type implements Message.
func (Claim) Type() MessageType { return TypeClaim }

// Type implements Message.
func (Verdict) Type() MessageType { return TypeVerdict }

// Type implements Message.
func (Settle) Type() MessageType { return TypeSettle }

// Type implements Message.
func (Inherit) Type() MessageType { return TypeInherit }

// Type implements Message.
func (Pulse) Type() MessageType { return TypePulse }

// Type implements Message.
func (Outcomes) Type() MessageType { return TypeOutcomes }

// Bulletin tells which backend servers the instances that share the slots have in
// doubt. It goes down a tree of all instances.
type Bulletin struct {
	// Origin, Incarnation and Sequence are as in Pulse.
	Origin      string
	Incarnation int64
	Sequence    uint64
	Service     string
	List        []Doubt
}

// Doubt is the probability that a backend server is gray.
type Doubt struct {
	Backend string
	Gray    float32
}

// Type implements Message.
func (Bulletin) Type() MessageType { return TypeBulletin }

// Type implements Message.
func (Crash) Type() MessageType { return TypeCrash }

// Type implements Message.
func (Demand) Type() MessageType { return TypeDemand }

// Type implements Message.
func (Loan) Type() MessageType { return TypeLoan }

// Type implements Message.
func (Drain) Type() MessageType { return TypeDrain }

// Type implements Message.
func (TallyReport) Type() MessageType { return TypeTally }

// Type implements Message.
func (Receipt) Type() MessageType { return TypeReceipt }
