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
	// ID is unique within the service and is not used again.
	ID string
	// Name is how the backend server calls itself; empty means ID. It may come
	// back with another incarnation, which has another ID.
	Name string `json:",omitempty" cbor:",omitempty"`
	// Address is host:port.
	Address string
	// Domain is the failure domain.
	Domain string
	// Slots is the number of requests it runs at a time; it is positive.
	Slots int
	// Leaving tells that it must get no new work.
	Leaving bool
}

// Load is what a backend server says of its load.
type Load struct {
	// Known tells that it said anything.
	Known bool
	// Running counts the requests that hold a slot, Waiting those that wait for
	// one.
	Running, Waiting int
	// Slots is the number of slots.
	Slots int
}

// Member is one entry instance and what is agreed on about it.
type Member struct {
	// Records go around a lot, so their encoding names no fields.
	_ struct{} `cbor:",toarray"`
	// ID is unique among the instances that live at one time.
	ID string
	// Incarnation grows with each start of the instance.
	Incarnation int64
	// Version grows with each change that the instance itself makes to its
	// record within an incarnation.
	Version int64
	// Public, Inner are host:port for callers and for instances.
	Public, Inner string
	// Domain is the failure domain.
	Domain string
	// State is the liveness agreed on.
	State Liveness
	// Accusers are up to MaxAccusers distinct instances that can't hear it.
	Accusers []string
	// Ready tells that it serves callers.
	Ready bool
	// Heir is the instance that took over the keys of one that left.
	Heir string
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

// WithHeir returns m with an heir of its keys.
func (m Member) WithHeir(id string) Member {
	m.Heir = id
	return m
}

// WithReady returns m with its readiness set.
func (m Member) WithReady(ready bool) Member {
	m.Ready = ready
	return m
}

// Newer tells whether m replaces o as a record of the same instance.
func (m Member) Newer(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	if m.Version != o.Version {
		return m.Version > o.Version
	}
	return m.State > o.State
}

// Kind tells what a document holds.
type Kind int

// Kinds of documents.
const (
	KindService Kind = iota
	KindBackends
	KindEjections
	KindRouting
)

// String returns the prefix of the kind in the platform's store.
func (k Kind) String() string {
	names := [...]string{"service", "backends", "eject", "routing"}
	if k < 0 || int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Ejection is one backend server that instances agreed to give no work.
type Ejection struct {
	// Backend is the ID of the backend server.
	Backend string
	// By is the instance that convicted it.
	By string
	// Since and Until bound the hold-off; trial work starts at Until.
	Since, Until time.Time
	// Strikes counts the ejections in a row, from 1.
	Strikes int
}

// Document is one replicated value. Documents of one kind and name are ordered
// by Revision; the largest one is in force.
type Document struct {
	Kind     Kind
	Name     string
	Revision uint64
	// At is the time at which the store accepted the revision, for Service.
	At time.Time
	// Service is set for KindService.
	Service *declarer.Service `cbor:",omitempty"`
	// Backends is set for KindBackends.
	Backends []Backend `cbor:",omitempty"`
	// Ejections is set for KindEjections, oldest first.
	Ejections []Ejection `cbor:",omitempty"`
	// Routing is set for KindRouting.
	Routing *declarer.Routing `json:",omitempty" cbor:",omitempty"`
}

// Reference names a revision of a document.
type Reference struct {
	Kind     Kind
	Name     string
	Revision uint64
}

// Score is one instance's evidence about one backend server.
type Score struct {
	Backend string
	// Value is a log-likelihood ratio; larger is worse.
	Value float64
	// Recent counts the recent observations behind it.
	Recent int
}

// Count is a monotonic tally of one instance incarnation.
type Count struct {
	Class   string
	Reason  Reason
	Outcome Outcome
	// Requests, Bytes only grow.
	Requests uint64
	Bytes    uint64
}

// Tally holds the counts of one service at one instance incarnation.
type Tally struct {
	Service     string
	Instance    string
	Incarnation int64
	// Version grows with each change; the largest one holds.
	Version uint64
	// Received counts the requests that arrived.
	Received uint64
	// Open counts the requests not yet ended.
	Open uint64
	// Final is set on the last flush of an incarnation that shut down.
	Final bool
	// Since and At bound the time the counts cover.
	Since, At time.Time
	// Every is the longest time between two writes of the service's tallies.
	Every  time.Duration
	Counts []Count
	// Latency holds the numbers of served requests by latency bucket; see
	// BucketBound.
	Latency []uint64
	// Ejections counts the backend servers that the instance ejected.
	Ejections uint64
	// Revisions lists the declaration revisions in force at the instance.
	Revisions []InForce
	// Folded lists the incarnations that a folded tally stands for.
	Folded []string `json:",omitempty" cbor:",omitempty"`
}

// InForce tells when a revision came into force at an instance.
type InForce struct {
	Revision uint64
	At       time.Time
}

// Latency buckets grow by a factor of about 1.19 from 100 microseconds.
const (
	// LatencyBuckets is the number of buckets.
	LatencyBuckets = 96
	latencyFirst   = 100 * time.Microsecond
)

var latencyBounds = makeBounds()

func makeBounds() [LatencyBuckets]time.Duration {
	var bounds [LatencyBuckets]time.Duration
	bound := float64(latencyFirst)
	for i := range bounds {
		bounds[i] = time.Duration(bound)
		bound *= 1.189207115002721
	}
	return bounds
}

// BucketBound returns the upper bound of latency bucket i.
func BucketBound(i int) time.Duration { return latencyBounds[i] }

// Bucket returns the latency bucket of d.
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
