package configurer

import (
	"time"

	"monsoonswitch/parser"
)

// Platform configures the access to the platform.
type Platform struct {
	// Address is the address of the key-value service and of the list of backend
	// servers.
	Address string
	// Patience is how long a starting instance waits for the configuration from other
	// instances before it reads it from the platform.
	Patience time.Duration
	// Source is SourceDeclarations or SourceRouting.
	Source string
	// Wait is how long one watch of the store waits for a change. Gap is the delay
	// between a watch that returned changes and the next watch.
	Wait, Gap time.Duration
}

// Sources of the declarations of services.
const (
	// SourceDeclarations means that the subcommand apply writes the declarations.
	SourceDeclarations = "declarations"
	// SourceRouting means that the platform's operator writes a routing. Callers and
	// backend servers then use the platform's dialect.
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
