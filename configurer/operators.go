package configurer

// Operators says where operators reach the instance.
type Operators struct {
	// Listen is the address to listen on, on loopback unless set otherwise.
	Listen string
}

func loadOperators(s *section, all *Settings) {
	all.Operators = Operators{Listen: s.address("listen", "127.0.0.1:9300")}
}
