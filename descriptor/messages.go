package descriptor

import "monsoonswitch/container"

// Message is one message between instances.
type Message interface {
	// Type returns the number of the message in the protocol between instances.
	Type() MessageType
}

// MessageType numbers the messages of the protocol between instances.
type MessageType int

// Message types. The number of a removed type is not reused.
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
	TypeKeySettlement
	TypeCrashReport
	TypeTally
	TypeTallyReceipt
	TypeRefresh
	TypeSlotDemand
	TypeSlotLease
	TypeDrain
	TypeKeyHandover
	TypeFreshness
	TypeOutcomes
	TypeSuspicionList
	TypeClockStamp
	TypeQuotaDemand
	TypeQuotaGrant
	TypeMemberChanges
	TypeComparison
	TypeRegisterReport
	messageTypeCount
)

// MessageTypeCount is one more than the largest message type.
const MessageTypeCount = int(messageTypeCount)

var messageTypeNames = [MessageTypeCount]string{
	TypeHello:         "hello",
	TypeHeartbeat:     "heartbeat",
	TypeMembers:       "members",
	TypeDigest:        "digest",
	TypeReferences:    "references",
	TypeDocuments:     "documents",
	TypeEvidence:      "evidence",
	TypeClaim:         "claim",
	TypeVerdict:       "verdict",
	TypeKeySettlement: "keysettlement",
	TypeCrashReport:   "crashreport",
	TypeTally:         "tally",
	TypeTallyReceipt:  "tallyreceipt",
	TypeRefresh:       "refresh",
	TypeSlotDemand:    "slotdemand",
	TypeSlotLease:     "slotlease",
	TypeDrain:         "drain",
	TypeKeyHandover:   "keyhandover",
	TypeFreshness:     "freshness",
	TypeOutcomes:      "outcomes",
	TypeSuspicionList: "suspicionlist",
	TypeClockStamp:    "clockstamp",
	TypeQuotaDemand:   "quotademand",
	TypeQuotaGrant:    "quotagrant",
	TypeMemberChanges: "memberchanges",
	TypeComparison:    "comparison",

	TypeRegisterReport: "registerreport",
}

// String returns the name used in logs and metrics.
func (t MessageType) String() string {
	if t <= 0 || t >= messageTypeCount {
		return "unknown"
	}
	return messageTypeNames[t]
}

// Hello is the first message on a link in each direction.
type Hello struct {
	// Protocol is the version of the protocol between instances.
	Protocol int
	From     Member
	// Capacity is the capacity of From.
	Capacity int32 `cbor:",omitempty"`
	// Known is the number of live members that the sender knows.
	Known int `cbor:",omitempty"`
	// Types is the largest message type that the sender decodes, or 0 from earlier builds.
	Types MessageType `cbor:",omitempty"`
}

// Heartbeat shows that its sender is alive.
type Heartbeat struct{ Sequence uint64 }

// Members carries member records.
type Members struct {
	Records []Member
	// Buckets is the set of digest buckets for which Records is complete. The
	// receiver answers with the records of these buckets that are missing or
	// outdated.
	Buckets uint64
	// Capacities holds the capacities of Records on the wire, if any is known. The records
	// themselves are arrays of a fixed length, which earlier builds decode.
	Capacities []int32 `cbor:",omitempty" json:",omitempty"`
}

// Digest carries hash sums of the members and documents that its sender holds.
type Digest struct {
	Members   container.BucketSums
	Documents container.BucketSums
	// Urgent asks the receiver to send differing documents immediately.
	Urgent bool
}

// Freshness is a freshness announcement: Age milliseconds ago, the platform's store
// held nothing newer than the documents with the hash sum Sum. It is forwarded
// along a tree of all instances.
type Freshness struct {
	// Origin and Incarnation identify the instance that watches the store.
	Origin      string
	Incarnation int64
	// Sequence grows with each freshness announcement of an incarnation.
	Sequence uint64
	// Sum is the hash sum of all documents.
	Sum uint64
	// Age is the time since the store was read, in milliseconds, when the origin
	// sends the message. Instances that forward it do not change Age.
	Age int64
	// Stamp is the last ClockStamp of the receiver, which the sender had held for Held
	// milliseconds. Proof milliseconds before the sender composed the message, a read of the
	// store began that found Version as the newest version of the routing, and Seen milliseconds
	// before it the newest one of these reads was current. Each instance that forwards the
	// message sets the five. Stamp is 0 if the sender has no stamp or no proof. Without an Origin the message
	// holds only the proof and is not forwarded.
	Stamp   int64  `json:",omitempty" cbor:",omitempty"`
	Held    int64  `json:",omitempty" cbor:",omitempty"`
	Proof   int64  `json:",omitempty" cbor:",omitempty"`
	Seen    int64  `json:",omitempty" cbor:",omitempty"`
	Version uint64 `json:",omitempty" cbor:",omitempty"`
	// Register is the version of the register that the origin found in the store when it read it, or 0.
	Register uint64 `json:",omitempty" cbor:",omitempty"`
}

// Outcomes reports how the latest requests at the backend servers of a service
// ended.
type Outcomes struct {
	Service string
	// List travels as Rows, which need a fifth of the bytes.
	List []BackendOutcomes `cbor:"-"`
	Rows []outcomeRow      `cbor:",omitempty" json:",omitempty"`
	// Relay asks the receiver to forward the outcomes to the other slot owners.
	Relay bool `cbor:",omitempty"`
	// Local asks the receiver to forward the message to the other slot owners of its
	// failure domain.
	Local bool `cbor:",omitempty"`
	// Unserved counts the requests that ended at the sender without a response
	// since its last message.
	Unserved int `cbor:",omitempty"`
	// Limits holds the limits that backend servers in List named or dropped lately.
	Limits []BackendLimit `cbor:",omitempty" json:",omitempty"`
	// Refused is the urgency of the most urgent request of a customer that was refused at the
	// sender for lack of room since its last message.
	Refused *Urgency `cbor:",omitempty" json:",omitempty"`
}

// BackendLimit is the limit of a backend server on the requests of all instances together.
type BackendLimit struct {
	_ struct{} `cbor:",toarray"`
	// Mark identifies the backend server; see MarkOf.
	Mark uint64
	// Limit is in requests a second; 0 means that the backend server dropped its limit.
	Limit float64
	// Age is how long ago the backend server answered so, in milliseconds.
	Age int64
}

// BackendOutcomes counts how requests at one backend server ended since the last
// message. Before counts the successes before the first failure, Bad the
// failures, and After the successes after the last failure.
type BackendOutcomes struct {
	// Backend is the ID of the backend server. It is empty in a message that was received,
	// which names the backend server by Mark; see MarkOf.
	Backend            string
	Mark               uint64
	Before, Bad, After int
	// Late counts the attempts without a response after a multiple of the median
	// service time of their class; see lateFactor of package balancer.
	Late int
	// Reported is set when the backend server reported its load Age milliseconds
	// ago. Work is the number of requests of all instances that it had then.
	Reported  bool
	Work, Age int
	// Leaving is set once the backend server announced in an answer that it is leaving.
	Leaving bool
}

// References lists the documents that its sender holds in the digest buckets
// Buckets. The receiver answers with the documents of these buckets that are
// missing or outdated.
type References struct {
	List    []Reference
	Buckets uint64
}

// Documents carries replicated documents.
type Documents struct{ List []Document }

// Refresh asks the receiver for its newest revisions of the referenced documents.
type Refresh struct{ List []Reference }

// Evidence carries its sender's scores of a service's backend servers.
type Evidence struct {
	Service string
	Scores  []Score
}

// Claim asks the issuer of an idempotency key for permission to run its request.
type Claim struct {
	Service string
	Key     string
	Request RequestID
}

// Verdict answers a claim. If the claim is not granted, Reason and Outcome
// describe the earlier run.
type Verdict struct {
	Request RequestID
	// Key is the claimed key prefixed with its service, as in KeySettlement.
	Key     string
	Granted bool
	Reason  Reason
	Outcome Outcome
}

// KeySettlement reports to the issuer of a key how a granted run ended.
type KeySettlement struct {
	Key     string
	Outcome Outcome
}

// KeyRecord is the state of one idempotency key at its issuer.
type KeyRecord struct {
	Key string
	// State is a number defined by package keeper.
	State int
	// Holder is the instance that was granted the key.
	Holder string
}

// KeyHandover hands over the idempotency keys of a leaving instance to its successor.
type KeyHandover struct {
	Instance    string
	Incarnation int64
	// Floor is the newest epoch with keys that may have been dropped.
	Floor uint64
	Keys  []KeyRecord
	// Last marks the last part of the handover. After it the successor decides
	// about the keys, provided that it received Total of them.
	Last  bool
	Total int
	// Issuers lists, in the last part, the issuers whose keys the instance took over
	// itself. These keys are among the Total.
	Issuers []KeyIssuer
}

// KeyIssuer is one incarnation of an instance whose keys were taken over.
type KeyIssuer struct {
	Instance    string
	Incarnation int64
	// Floor is as in KeyHandover.
	Floor uint64
}

// CrashReport reports that a connection to a backend server broke before the response
// to a request, which is taken as a crash.
type CrashReport struct {
	Service string
	// Fingerprint identifies the request; see Arrived.
	Fingerprint uint64
	// Backend is the backend server that crashed. It is empty if the request was
	// answered.
	Backend string
	// Cleared withdraws earlier reports about the request: those about Backend,
	// because it was found to be up, or all of them if Backend is empty.
	Cleared bool
	// Mark is the mark of Backend, or 0 if Backend gives it. It is set where the sender may
	// know only the mark.
	Mark uint64 `cbor:",omitempty" json:",omitempty"`
	// Content is as in Arrived. If Cleared is set and Backend is empty, it is that of the
	// request that was answered.
	Content uint64 `cbor:",omitempty" json:",omitempty"`
	// Age is how long ago the backend server crashed, in milliseconds.
	Age int64 `cbor:",omitempty" json:",omitempty"`
	// Origin, Incarnation and Sequence are as in Freshness if the report is forwarded along a
	// tree of all instances. Otherwise Origin is empty.
	Origin      string `cbor:",omitempty" json:",omitempty"`
	Incarnation int64  `cbor:",omitempty" json:",omitempty"`
	Sequence    uint64 `cbor:",omitempty" json:",omitempty"`
}

// Crash is a crash of a backend server under a request, in a suspicion list.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// Fingerprint and Content identify the request, and Mark the backend server.
	Fingerprint, Mark, Content uint64
	// Age is how long ago the backend server crashed, in milliseconds.
	Age int64
}

// SlotDemand reports how many slots beyond its share its sender could use now.
type SlotDemand struct {
	Service string
	Slots   int
}

// SlotLease leases out slots of one backend server for a bounded time.
type SlotLease struct {
	Service string
	Backend string
	Slots   int
	// Millis is the time during which the receiver may start work on the slots,
	// in milliseconds from the receipt of the message.
	Millis int64
}

// Drain reports that a backend server announced in a response that it is draining.
type Drain struct {
	Service string
	Backend string
}

// TallyReport carries a tally to the instance that writes it to the store.
type TallyReport struct{ Tally Tally }

// TallyReceipt confirms that a tally was written to the platform's store.
type TallyReceipt struct {
	Service     string
	Incarnation int64
	Version     uint64
}

// WithOutcome returns o with one more request counted.
func (o BackendOutcomes) WithOutcome(failed bool) BackendOutcomes {
	switch {
	case failed:
		// Successes between two failures are not counted, because they must not
		// offset the failures.
		o.Bad++
		o.After = 0
	case o.Bad > 0:
		o.After++
	default:
		o.Before++
	}
	return o
}

// WithOutcomes returns o with the outcomes of p, which happened later, added.
func (o BackendOutcomes) WithOutcomes(p BackendOutcomes) BackendOutcomes {
	o.Late += p.Late
	o.Leaving = o.Leaving || p.Leaving
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
func (KeySettlement) Type() MessageType { return TypeKeySettlement }

// Type implements Message.
func (KeyHandover) Type() MessageType { return TypeKeyHandover }

// Type implements Message.
func (Freshness) Type() MessageType { return TypeFreshness }

// Type implements Message.
func (Outcomes) Type() MessageType { return TypeOutcomes }

// SuspicionList lists the backend servers of a service that the slot owners suspect
// to be gray. It is forwarded along a tree of all instances.
type SuspicionList struct {
	// Origin, Incarnation and Sequence are as in Freshness.
	Origin      string
	Incarnation int64
	Sequence    uint64
	Service     string
	// List holds the suspicions in the decisions. On the wire they travel as Marks and
	// Levels, which need a fraction of the bytes.
	List []Suspicion `cbor:"-"`
	// Marks holds the hash of the ID of each suspected backend server, and Levels the
	// probability that it is gray in units of 1/maxLevel.
	Marks  []uint64 `cbor:",omitempty" json:",omitempty"`
	Levels []byte   `cbor:",omitempty" json:",omitempty"`
	// Base is the mean probability that a backend server which is not listed is gray; 0
	// means that it is not known.
	Base float32 `cbor:",omitempty" json:",omitempty"`
	// Leaving lists the marks of the backend servers that are leaving. The platform's list
	// may not show it yet, and an instance may have read an older one.
	Leaving []uint64 `cbor:",omitempty"`
	// Crashes lists the newest crashes under requests that are not withdrawn any more.
	Crashes []Crash `cbor:",omitempty" json:",omitempty"`
	// Limits is as in Outcomes, for all backend servers.
	Limits []BackendLimit `cbor:",omitempty" json:",omitempty"`
}

// Suspicion is the estimated probability that a backend server is gray.
type Suspicion struct {
	// Mark identifies the backend server; see MarkOf.
	Mark uint64
	Gray float32
}

// Type implements Message.
func (SuspicionList) Type() MessageType { return TypeSuspicionList }

// Type implements Message.
func (CrashReport) Type() MessageType { return TypeCrashReport }

// Type implements Message.
func (SlotDemand) Type() MessageType { return TypeSlotDemand }

// Type implements Message.
func (SlotLease) Type() MessageType { return TypeSlotLease }

// Type implements Message.
func (Drain) Type() MessageType { return TypeDrain }

// Type implements Message.
func (TallyReport) Type() MessageType { return TypeTally }

// Type implements Message.
func (TallyReceipt) Type() MessageType { return TypeTallyReceipt }
