package descriptor

// Urgency is how urgent a request is: by the rank of its customer first, then by that of its class.
type Urgency struct {
	_ struct{} `cbor:",toarray"`
	// Customer and Class are ranks; 0 is the most urgent.
	Customer, Class int
}

// Before reports whether u is more urgent than v.
func (u Urgency) Before(v Urgency) bool {
	if u.Customer != v.Customer {
		return u.Customer < v.Customer
	}
	return u.Class < v.Class
}
