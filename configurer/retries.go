package configurer

import (
	"time"

	"monsoonswitch/parser"
)

// Retries bounds the retries of all instances together to a service that is declared by a
// routing.
type Retries struct {
	// Ratio is the number of retries per request.
	Ratio float64
	// Extra is the number of additional retries per Window.
	Extra float64
	// Window is the period of Extra.
	Window time.Duration
}

// maxExtraRetries bounds Extra, in retries per window.
const maxExtraRetries = 1e6

func loadRetries(s *parser.Section, all *Settings) {
	all.Retries = Retries{
		Ratio:  s.NumberIn("ratio", 0.2, 0, 1),
		Extra:  s.NumberIn("extra", 50, 0, maxExtraRetries),
		Window: time.Duration(s.NumberIn("window", 10, 1, 600) * float64(time.Second)),
	}
}
