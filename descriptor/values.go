package descriptor

import (
	"time"

	"monsoonswitch/declarer"
)

// RequestID identifies a request within one incarnation of an instance.
type RequestID uint64

// AttemptID numbers the attempts of one request from 1.
type AttemptID int

// Backend is one backend server as the platform lists it.
type Backend struct {
	// ID is unique within the service and is not reused.
	ID string
	// Name is the name that the backend server reports for itself; empty means
	// that it equals ID. A later incarnation may have the same name under
	// another ID.
	Name string `json:",omitempty" cbor:",omitempty"`
	// Address is host:port.
	Address string
	// Domain is the failure domain.
	Domain string
	// Slots is the number of requests that the backend server runs at once; it
	// is positive.
	Slots int
	// Leaving reports whether the backend server is draining and must get no new
	// work.
	Leaving bool
}

// NamesIncarnation reports whether the ID changes with each start of the backend server.
func (b Backend) NamesIncarnation() bool { return b.Name != "" && b.Name != b.ID }

// Replaces reports whether b is another incarnation than x that has the name or address of x.
func (b Backend) Replaces(x Backend) bool {
	return b.ID != x.ID && (b.Name != "" && b.Name == x.Name || b.Address == x.Address)
}

// Load is the load that a backend server reports in a response.
type Load struct {
	// Known reports whether the response carried a load.
	Known bool
	// Running counts the requests that hold a slot, and Waiting those that wait
	// for one.
	Running, Waiting int
	// Slots is the number of slots.
	Slots int
}

// Member is the membership record of one entry instance.
type Member struct {
	// Records are sent often, so they are encoded as arrays without field names.
	_ struct{} `cbor:",toarray"`
	// ID is unique among the instances that run at the same time.
	ID string
	// Incarnation grows with each start of the instance.
	Incarnation int64
	// Version grows with each change that the instance itself makes to its
	// record within an incarnation.
	Version int64
	// Public and Inner are the host:port addresses for callers and for other
	// instances.
	Public, Inner string
	// Domain is the failure domain.
	Domain string
	// State is the liveness that the fleet agrees on.
	State Liveness
	// Accusers lists up to MaxAccusers distinct instances that receive no
	// messages from the member.
	Accusers []string
	// Ready reports whether the member serves callers.
	Ready bool
	// Successor is the ID of the instance that took over the idempotency keys of
	// a member that left.
	Successor string `json:"Heir"`
	// Capacity is the processor of the instance in thousandths of a core, or 0 if it is
	// unknown. It travels beside the record; see Members. It belongs to an incarnation, like the
	// addresses and the failure domain: a record may lack it, but never tells another one.
	Capacity int32 `cbor:"-" json:",omitempty"`
}

// MaxAccusers bounds the accusers kept for a member.
const MaxAccusers = 3

// WithState returns m in state s with the given accusers.
func (m Member) WithState(s Liveness, accusers []string) Member {
	m.State = s
	m.Accusers = accusers
	return m
}

// WithVersion returns m with version v.
func (m Member) WithVersion(v int64) Member {
	m.Version = v
	return m
}

// WithSuccessor returns m with the successor for its idempotency keys set to id.
func (m Member) WithSuccessor(id string) Member {
	m.Successor = id
	return m
}

// WithMissing returns m with what it lacks of an incarnation set from o, another record of it.
func (m Member) WithMissing(o Member) Member {
	if m.Incarnation == o.Incarnation && m.Capacity <= 0 {
		m.Capacity = o.Capacity
	}
	return m
}

// WithReady returns m with Ready set.
func (m Member) WithReady(ready bool) Member {
	m.Ready = ready
	return m
}

// Newer reports whether m supersedes o as a record of the same instance.
func (m Member) Newer(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	if m.Version != o.Version {
		return m.Version > o.Version
	}
	return m.State > o.State
}

// Kind is the type of content of a document.
type Kind int

// Kinds of documents.
const (
	KindService Kind = iota
	KindBackends
	KindEjections
	KindRouting
	KindRegister
)

// String returns the name used for the kind in the platform's store.
func (k Kind) String() string {
	names := [...]string{"service", "backends", "eject", "routing", "register"}
	if k < 0 || int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Ejection records that the fleet sends no work to a backend server.
type Ejection struct {
	// Backend is the ID of the backend server.
	Backend string
	// By is the instance that decided the ejection.
	By string
	// Since and Until bound the ejection; trial requests start at Until.
	Since, Until time.Time
	// Strikes counts consecutive ejections of the backend server, from 1.
	Strikes int
}

// Document is one replicated value. Of the documents of one kind and name, the
// one with the largest Revision is in force.
type Document struct {
	Kind     Kind
	Name     string
	Revision uint64
	// At is the time at which the store accepted the revision, for KindService.
	At time.Time
	// Service is set for KindService.
	Service *declarer.Service `cbor:",omitempty"`
	// Backends is set for KindBackends. Each of them has an ID of its own.
	Backends []Backend `cbor:",omitempty"`
	// Base is 0 in a complete document. Otherwise the document holds only the
	// difference to the list or routing with the content hash Base: Backends or the
	// routes of Routing are those that were added or changed, and Removed are the IDs or
	// class names of those that were removed. Likewise, Customers of Routing are those that
	// were added or changed, and Closed are the names of those that were removed. Sum is the
	// content hash of the result.
	Base    uint64   `json:",omitzero" cbor:",omitempty"`
	Removed []string `json:",omitempty" cbor:",omitempty"`
	Closed  []string `json:",omitempty" cbor:",omitempty"`
	Sum     uint64   `json:",omitzero" cbor:",omitempty"`
	// Ejections is set for KindEjections, oldest first.
	Ejections []Ejection `cbor:",omitempty"`
	// Routing is set for KindRouting.
	Routing *declarer.Routing `json:",omitempty" cbor:",omitempty"`
	// Register is set for KindRegister, unless the value in its place is none. Such a document is not
	// exchanged between instances; see RegisterReport.
	Register *Register `json:",omitempty" cbor:"-"`
}

// Reference identifies a revision of a document.
type Reference struct {
	Kind     Kind
	Name     string
	Revision uint64
	// Sum is the content hash of a list of backend servers or a routing. It is that of
	// the revision, or in a request that of the version which the sender holds, and 0 if
	// the sender holds none or needs a complete one.
	Sum uint64 `json:",omitzero" cbor:",omitempty"`
	// Earlier holds, in a request, the content hashes of the versions that the sender
	// held before, newest first.
	Earlier []uint64 `json:",omitempty" cbor:",omitempty"`
}

// Score is one instance's evidence about one backend server.
type Score struct {
	Backend string
	// Value is the log-likelihood ratio of gray to healthy; larger is worse.
	Value float64
	// Recent counts the recent observations that Value is based on.
	Recent int
}

// Count is a monotonic counter of one incarnation of an instance. It counts the
// requests of a class that ended with a reason and an outcome.
type Count struct {
	Class   string
	Reason  Reason
	Outcome Outcome
	// Requests and Bytes never decrease.
	Requests uint64
	Bytes    uint64
}

// Tally holds the counts of one service at one incarnation of an instance.
type Tally struct {
	Service     string
	Instance    string
	Incarnation int64
	// Version grows with each change; the largest one is valid.
	Version uint64
	// Received counts the requests that arrived.
	Received uint64
	// Open counts the requests that have not ended.
	Open uint64
	// Final is set on the last tally of an incarnation that shut down.
	Final bool
	// Since and At bound the time that the counts cover.
	Since, At time.Time
	// Every is the maximum time between two writes of the service's tallies.
	Every  time.Duration
	Counts []Count
	// Latency holds the number of served requests in each latency bucket; see
	// BucketBound.
	Latency []uint64
	// Ejections counts the backend servers that the instance ejected.
	Ejections uint64
	// Revisions lists the declaration revisions in force at the instance.
	Revisions []InForce
	// Folded lists the incarnations that are summed up in a folded tally.
	Folded []string `json:",omitempty" cbor:",omitempty"`
}

// InForce records the time at which a revision came into force at an instance.
type InForce struct {
	Revision uint64
	At       time.Time
}

// Latency buckets grow by a factor of 2^(1/4), about 1.19, from 100 microseconds.
const (
	// LatencyBuckets is the number of buckets.
	LatencyBuckets = 96
	// minLatencyBound is the upper bound of the first bucket.
	minLatencyBound = 100 * time.Microsecond
)

var latencyBounds = makeBounds()

func makeBounds() [LatencyBuckets]time.Duration {
	var bounds [LatencyBuckets]time.Duration
	bound := float64(minLatencyBound)
	for i := range bounds {
		bounds[i] = time.Duration(bound)
		bound *= 1.189207115002721
	}
	return bounds
}

// BucketBound returns the upper bound of latency bucket i, inclusive.
func BucketBound(i int) time.Duration { return latencyBounds[i] }

// Bucket returns the latency bucket of d. Latencies above the last bound are in
// the last bucket.
func Bucket(d time.Duration) int {
	low, high := 0, LatencyBuckets-1
	for low < high {
		mid := (low + high) / 2
		if latencyBounds[mid] < d {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}
