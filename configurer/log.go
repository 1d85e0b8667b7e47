package configurer

import "monsoonswitch/parser"

// Log says what is logged and how.
type Log struct {
	// Level is the least level that is logged.
	Level string
	// Format is text or json.
	Format string
	// Notable is the number of requests a second that are told in full because
	// they failed, were refused, sent again or slow; Sampled that of others.
	Notable, Sampled float64
}

// maxTold bounds the requests a second that are told.
const maxTold = 1e5

func loadLog(s *parser.Section, all *Settings) {
	all.Log = Log{
		Level:  s.Choice("level", "info", "debug", "info", "warn", "error"),
		Format: s.Choice("format", "text", "text", "json"),

		Notable: s.NumberIn("notable", 20, 0, maxTold),
		Sampled: s.NumberIn("sampled", 0.2, 0, maxTold),
	}
}
