package configurer

import (
	"time"

	"monsoonswitch/parser"
)

// Callers configures the listeners for callers.
type Callers struct {
	// Listen is the address to listen on.
	Listen string
	// Advertise is the address that is advertised to callers; empty means Listen.
	Advertise string
	// Questions lists additional addresses to listen on. They serve only requests to the
	// instance itself: whether it is ready, and which addresses to use. Under a routing
	// they are required.
	Questions []string
	// Header names the request header that identifies a caller; if it is empty, callers
	// are identified by their IP address.
	Header string
	// Keep is how long callers may cache a list of addresses.
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
