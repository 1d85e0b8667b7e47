package configurer

import "monsoonswitch/parser"

// Operators says where operators reach the instance.
type Operators struct {
	// Listen is the address to listen on, on loopback unless set otherwise.
	Listen string
}

func loadOperators(s *parser.Section, all *Settings) {
	all.Operators = Operators{Listen: s.Address("listen", "127.0.0.1:9300")}
}
