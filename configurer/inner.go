package configurer

import "monsoonswitch/parser"

// minKey is the least length of the key in bytes.
const minKey = 16

// Inner says how instances talk to each other.
type Inner struct {
	// Listen is the address to listen on.
	Listen string
	// Advertise is the address that instances are told; empty means Listen.
	Advertise string
	// Key proves that instances belong together. It is a secret.
	Key string
	// Seeds are inner addresses of other instances to try first.
	Seeds []string
}

func loadInner(s *parser.Section, all *Settings) {
	all.Inner = Inner{
		Listen:    s.Address("listen", ""),
		Advertise: s.OptionalAddress("advertise"),
		Key:       s.Required("key"),
		Seeds:     s.Addresses("seeds"),
	}
	if len(all.Inner.Key) < minKey {
		s.Fail("key", "is shorter than %d characters", minKey)
	}
}
