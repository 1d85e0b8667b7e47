package configurer

import "monsoonswitch/parser"

// Log says what is logged and how.
type Log struct {
	// Level is the least level that is logged.
	Level string
	// Format is text or json.
	Format string
}

func loadLog(s *parser.Section, all *Settings) {
	all.Log = Log{
		Level:  s.Choice("level", "info", "debug", "info", "warn", "error"),
		Format: s.Choice("format", "text", "text", "json"),
	}
}
