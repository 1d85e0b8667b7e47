package configurer

import (
	"time"

	"monsoonswitch/parser"
)

// Customers holds the settings for work with API keys.
type Customers struct {
	// Strict reports whether such work needs the proof that the configuration was the newest at
	// most Withdraw ago.
	Strict   bool
	Withdraw time.Duration
}

// ProofAge returns how old that proof may be, or 0 if none is needed.
func (c Customers) ProofAge() time.Duration {
	if !c.Strict {
		return 0
	}
	return c.Withdraw
}

// defaultWithdraw is Withdraw in seconds if it is missing, empty or 0.
const defaultWithdraw = 5

// loadCustomers loads the section. An empty strict is false: templates have no value for it where
// keys need not be strict.
func loadCustomers(s *parser.Section, all *Settings) {
	strict := s.Text("strict", "") != "" && s.Flag("strict")
	withdraw := s.NumberIn("withdraw", defaultWithdraw, 0, 3600)
	if withdraw == 0 {
		withdraw = defaultWithdraw
	}
	all.Customers = Customers{Strict: strict, Withdraw: time.Duration(withdraw * float64(time.Second))}
}
