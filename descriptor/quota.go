package descriptor

// ClockStamp carries the uptime of its sender, which the receiver returns with how long it has held
// it. The sender then knows an upper bound of the age of what it is sent, whatever the link did to
// it, and no two clocks are compared.
type ClockStamp struct {
	// Stamp is the sender's uptime in microseconds, plus a number that only the sender knows.
	Stamp int64
	// Asks is set if the sender needs a proof and wants an answer; see Freshness.
	Asks bool `json:",omitempty" cbor:",omitempty"`
}

// QuotaDemand asks an instance for permits of the customers whose quotas it grants. With an empty
// list it asks for the receiver's share of the limits of the customers whose quotas the sender grants.
type QuotaDemand struct {
	// Stamp is the sender's uptime in microseconds when it asked. It is different in each demand
	// of a sender, and the answer repeats it.
	Stamp int64
	// Slots holds, if List is empty, a bit for each slot of customers whose quotas the sender
	// grants. It uses no share of the others that it was given before.
	Slots uint64 `cbor:",omitempty"`
	// Fleet is, if List is empty, the number of instances that the sender knows. Fresh is set if
	// all of them have just started, so that no former grantor still uses shares.
	Fleet int              `cbor:",omitempty"`
	Fresh bool             `cbor:",omitempty"`
	List  []CustomerDemand `cbor:",omitempty"`
}

// CustomerDemand is the number of permits that an instance wants for the requests of a customer.
type CustomerDemand struct {
	_ struct{} `cbor:",toarray"`
	// Mark identifies the customer; see MarkOf.
	Mark uint64
	// Permits is the number of requests that wait for a permit.
	Permits int
	// Ahead is the number of permits wanted for requests that are expected next.
	Ahead int
}

// QuotaGrant answers a QuotaDemand.
type QuotaGrant struct {
	// Stamp is that of the demand.
	Stamp int64
	// Slots holds the slots of which the sender gives its share of all limits to the receiver, and
	// Fleet is the number of instances that it knows. Fresh is set if it gives nothing because it
	// has just started.
	Slots uint64 `cbor:",omitempty"`
	Fleet int    `cbor:",omitempty"`
	Fresh bool   `cbor:",omitempty"`
	// List is empty if Slots or Fresh is set.
	List []CustomerGrant `cbor:",omitempty"`
}

// CustomerGrant is the number of requests of a customer that the receiver may send.
type CustomerGrant struct {
	_ struct{} `cbor:",toarray"`
	// Mark identifies the customer; see MarkOf.
	Mark uint64
	// Permits is the number of requests that are permitted.
	Permits int
	// Life is the time in milliseconds after the stamp, on the clock of the instance that asked,
	// at which the permits end. A late answer is therefore valid for a shorter time.
	Life int64
	// Wait is the time in milliseconds until one more can be granted, or 0 if all requests that
	// wait were permitted.
	Wait int64
}

// QuotaCounts holds the numbers of decisions of an instance about quotas since its start.
type QuotaCounts struct {
	// Granted is the number of permits that it granted to itself and others.
	Granted uint64
	// Used is the number of requests that took a permit, and Static those of them that took one
	// without a grantor. Returned is the number of permits that were free again because their
	// request did not run.
	Used, Static, Returned uint64
	// Waited is the number of requests that waited for a permit, and Refused that of those that
	// got none.
	Waited, Refused uint64
}

func (QuotaCounts) action() {}

// Type implements Message.
func (ClockStamp) Type() MessageType { return TypeClockStamp }

// Type implements Message.
func (QuotaDemand) Type() MessageType { return TypeQuotaDemand }

// Type implements Message.
func (QuotaGrant) Type() MessageType { return TypeQuotaGrant }
