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

// QuotaDemand asks an instance for permits of the customers whose quotas it grants.
type QuotaDemand struct {
	// Stamp is the sender's uptime in microseconds when it asked. The answer repeats it.
	Stamp int64
	List  []CustomerDemand
}

// CustomerDemand is the number of permits that an instance wants for the requests of a customer.
type CustomerDemand struct {
	_ struct{} `cbor:",toarray"`
	// Mark identifies the customer; see MarkOf.
	Mark uint64
	// Permits is the number of requests to be permitted.
	Permits int
	// Returned is the number of permits that were granted to the sender and not used.
	Returned int
}

// QuotaGrant answers a QuotaDemand.
type QuotaGrant struct {
	// Stamp is that of the demand. The permits end Life milliseconds after it on the clock of the
	// instance that asked, so that a late answer is worth less and never more.
	Stamp int64
	Life  int64
	List  []CustomerGrant
}

// CustomerGrant is the number of requests of a customer that the receiver may send.
type CustomerGrant struct {
	_ struct{} `cbor:",toarray"`
	// Mark identifies the customer; see MarkOf.
	Mark uint64
	// Permits is the number of requests that are permitted.
	Permits int
	// Wait is the time in milliseconds until more can be granted, if fewer were than asked for.
	Wait int64
}

// Type implements Message.
func (ClockStamp) Type() MessageType { return TypeClockStamp }

// Type implements Message.
func (QuotaDemand) Type() MessageType { return TypeQuotaDemand }

// Type implements Message.
func (QuotaGrant) Type() MessageType { return TypeQuotaGrant }
