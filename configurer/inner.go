package configurer

import "monsoonswitch/parser"

// minKeyBytes is the minimum length of the key in bytes.
const minKeyBytes = 16

// Inner configures the links between instances.
type Inner struct {
	// Listen is the address to listen on.
	Listen string
	// Advertise is the address that is advertised to other instances; empty means
	// Listen.
	Advertise string
	// Key is the shared secret by which instances prove their membership.
	Key string
	// Seeds are the inner addresses of instances to join the fleet through.
	Seeds []string
}

func loadInner(s *parser.Section, all *Settings) {
	all.Inner = Inner{
		Listen:    s.Address("listen", ""),
		Advertise: s.OptionalAddress("advertise"),
		Key:       s.Required("key"),
		Seeds:     s.Addresses("seeds"),
	}
	if len(all.Inner.Key) < minKeyBytes {
		s.Fail("key", "is shorter than %d bytes", minKeyBytes)
	}
}
