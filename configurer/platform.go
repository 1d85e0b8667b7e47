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
	// Source tells who declares the services.
	Source string
	// Wait is how long one watch of the store waits, and Gap the least time
	// between two watches of which the first returned changes.
	Wait, Gap time.Duration
}

// Sources of the services.
const (
	// SourceDeclarations stands for declarations that apply writes.
	SourceDeclarations = "declarations"
	// SourceRouting stands for a routing that the platform's operator writes;
	// callers and backend servers then speak the platform's dialect.
	SourceRouting = "routing"
)

func loadPlatform(s *parser.Section, all *Settings) {
	all.Platform = Platform{
		Address:  s.Address("address", ""),
		Patience: s.DurationIn("patience", 2*time.Second, 0, time.Minute),
		Source:   s.Choice("source", SourceDeclarations, SourceDeclarations, SourceRouting),
		Wait:     s.DurationIn("wait", 30*time.Second, 50*time.Millisecond, 30*time.Second),
		Gap:      s.DurationIn("gap", 0, 0, 5*time.Second),
	}
}
