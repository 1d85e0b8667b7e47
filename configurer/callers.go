package configurer

import (
	"time"

	"monsoonswitch/parser"
)

// Callers says where and how callers are served.
type Callers struct {
	// Listen is the address to listen on.
	Listen string
	// Advertise is the address that callers are told; empty means Listen.
	Advertise string
	// Questions lists further addresses, at which only questions are answered:
	// whether the instance is ready, and which addresses to use.
	Questions []string
	// Header names the header that tells callers apart; empty means their
	// address.
	Header string
	// Keep is how long callers use an answer to which addresses to use.
	Keep time.Duration
}

func loadCallers(s *parser.Section, all *Settings) {
	all.Callers = Callers{
		Listen:    s.Address("listen", ""),
		Advertise: s.OptionalAddress("advertise"),
		Questions: s.Addresses("questions"),
		Header:    s.Text("header", ""),
		Keep:      s.DurationIn("keep", 30*time.Second, time.Second, time.Hour),
	}
}
