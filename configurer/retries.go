package configurer

import (
	"time"

	"monsoonswitch/parser"
)

// Retries bounds what all instances together send again to a service under a
// routing.
type Retries struct {
	// Ratio is the number of retries for each request.
	Ratio float64
	// Extra is the number of retries beyond that in each Window.
	Extra  float64
	Window time.Duration
}

// maxExtra bounds the retries of a window beyond the ratio.
const maxExtra = 1e6

func loadRetries(s *parser.Section, all *Settings) {
	all.Retries = Retries{
		Ratio:  s.NumberIn("ratio", 0.2, 0, 1),
		Extra:  s.NumberIn("extra", 50, 0, maxExtra),
		Window: time.Duration(s.NumberIn("window", 10, 1, 600) * float64(time.Second)),
	}
}
