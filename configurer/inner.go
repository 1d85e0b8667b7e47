package configurer

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

func loadInner(s *section, all *Settings) {
	all.Inner = Inner{
		Listen:    s.address("listen", ""),
		Advertise: s.text("advertise", ""),
		Key:       s.required("key"),
		Seeds:     s.addresses("seeds"),
	}
	checkAdvertise(s, all.Inner.Advertise)
	if len(all.Inner.Key) < minKey {
		s.fail("key", "is shorter than %d characters", minKey)
	}
}
