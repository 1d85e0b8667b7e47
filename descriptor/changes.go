package descriptor

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/container"
)

// MemberChange is what changes in a member's record while the member stays at its addresses,
// also over a restart. It needs a sixth of the bytes of the record.
type MemberChange struct {
	_ struct{} `cbor:",toarray"`
	// Mark identifies the member and the fields that are not in MemberChange; see
	// Member.Mark.
	Mark uint64
	// The other fields are as in Member.
	Incarnation, Version int64
	State                Liveness
	Accusers             []string
	Ready                bool
	Successor            string
}

// MemberChanges carries changes of members to an instance that knows most of them. The
// receiver requests the complete records of members that it does not know.
type MemberChanges struct {
	List []MemberChange `cbor:",omitempty" json:",omitempty"`
	// Buckets is as in Members.
	Buckets uint64 `cbor:",omitempty" json:",omitempty"`
	// Wanted asks for the complete records of the members with these marks.
	Wanted []uint64 `cbor:",omitempty" json:",omitempty"`
	// All asks for the records of all live members. The receiver names some instances to ask
	// in Near instead, if it knows any; with Here only if it answered others lately, and
	// with Must never.
	All  bool `cbor:",omitempty" json:",omitempty"`
	Here bool `cbor:",omitempty" json:",omitempty"`
	Must bool `cbor:",omitempty" json:",omitempty"`
	// Near holds some members in the failure domain of the receiver, which asked for all.
	Near []Member `cbor:",omitempty" json:",omitempty"`
	// NearCapacities holds the capacities of Near.
	NearCapacities []int32 `cbor:",omitempty" json:",omitempty"`
}

// Type implements Message.
func (MemberChanges) Type() MessageType { return TypeMemberChanges }

// Mark returns a hash of the fields of m that stay the same while it restarts at its addresses.
func (m Member) Mark() uint64 {
	h := xxhash.New()
	for _, part := range []string{m.ID, m.Public, m.Inner, m.Domain, strconv.Itoa(int(m.Capacity))} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// Change returns what MemberChange says of m.
func (m Member) Change() MemberChange {
	return MemberChange{
		Mark: m.Mark(), Incarnation: m.Incarnation, Version: m.Version, State: m.State,
		Accusers: m.Accusers, Ready: m.Ready, Successor: m.Successor,
	}
}

// WithChange returns m, which has the mark of c, after c.
func (m Member) WithChange(c MemberChange) Member {
	m.Incarnation, m.Version, m.State = c.Incarnation, c.Version, c.State
	m.Accusers, m.Ready, m.Successor = c.Accusers, c.Ready, c.Successor
	return m
}

// Comparison compares what its sender holds with what its receiver holds, in two steps: short
// sums first, and the sums of buckets in the answer if these differ. Earlier builds compare by
// Digest, which holds all buckets.
type Comparison struct {
	// Members is the hash of the digest of Count members. Both are 0 if the members are not
	// compared.
	Members uint64 `cbor:"m,omitempty" json:",omitempty"`
	Count   int    `cbor:"c,omitempty" json:",omitempty"`
	// Checks holds the check of each bucket of members; see container.BucketSums.Checks.
	Checks []byte `cbor:"k,omitempty" json:",omitempty"`
	// Callers is the hash of the IDs of the instances that callers are sent to, in their order, or 0 if
	// it isn't sent.
	Callers uint64 `cbor:"l,omitempty" json:",omitempty"`
	// Documents is the hash of the digest of the documents.
	Documents uint64 `cbor:"d,omitempty" json:",omitempty"`
	// DocumentCount, DocumentSet and DocumentSums are the digest of the documents, if it is
	// sent; see container.FromSparse.
	DocumentCount int      `cbor:"n,omitempty" json:",omitempty"`
	DocumentSet   uint64   `cbor:"b,omitempty" json:",omitempty"`
	DocumentSums  []uint64 `cbor:"s,omitempty" json:",omitempty"`
	// Urgent asks the receiver to send differing documents immediately.
	Urgent bool `cbor:"u,omitempty" json:",omitempty"`
	// Answer is set in answers, which are not answered by another Comparison.
	Answer bool `cbor:"a,omitempty" json:",omitempty"`
}

// Type implements Message.
func (Comparison) Type() MessageType { return TypeComparison }

// WithDocuments returns c with the complete digest of the documents.
func (c Comparison) WithDocuments(s container.BucketSums) Comparison {
	c.Documents, c.DocumentCount = s.Hash(), s.Count
	c.DocumentSet, c.DocumentSums = s.Sparse()
	return c
}
