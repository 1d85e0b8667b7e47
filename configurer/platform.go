package configurer

import (
	"time"

	"monsoonswitch/parser"
)

// Platform says where the platform's services are.
type Platform struct {
	// Address is that of the key-value service and of the list of instances.
	Address string
	// Patience is how long a starting instance waits for others before it
	// reads the configuration from the platform itself.
	Patience time.Duration
}

func loadPlatform(s *parser.Section, all *Settings) {
	all.Platform = Platform{
		Address:  s.Address("address", ""),
		Patience: s.DurationIn("patience", 2*time.Second, 0, time.Minute),
	}
}
