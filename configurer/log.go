package configurer

import "monsoonswitch/parser"

// Log configures the log.
type Log struct {
	// Level is the lowest level that is logged.
	Level string
	// Format is text or json.
	Format string
	// Notable is the number of requests per second that are logged because they failed,
	// were refused, were retried or missed their target. Sampled is the number of other
	// requests per second.
	Notable, Sampled float64
}

// maxLoggedRate bounds Notable and Sampled, in requests per second.
const maxLoggedRate = 1e5

func loadLog(s *parser.Section, all *Settings) {
	all.Log = Log{
		Level:  s.Choice("level", "info", "debug", "info", "warn", "error"),
		Format: s.Choice("format", "text", "text", "json"),

		Notable: s.NumberIn("notable", 20, 0, maxLoggedRate),
		Sampled: s.NumberIn("sampled", 0.2, 0, maxLoggedRate),
	}
}
