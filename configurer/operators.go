package configurer

import "monsoonswitch/parser"

// Operators configures the listener for operators.
type Operators struct {
	// Listen is the address to listen on; the default is a loopback address.
	Listen string
}

func loadOperators(s *parser.Section, all *Settings) {
	all.Operators = Operators{Listen: s.Address("listen", "127.0.0.1:9300")}
}
