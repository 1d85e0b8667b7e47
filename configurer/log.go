package configurer

// Log says what is logged and how.
type Log struct {
	// Level is the least level that is logged.
	Level string
	// Format is text or json.
	Format string
}

func loadLog(s *section, all *Settings) {
	all.Log = Log{
		Level:  s.choice("level", "info", "debug", "info", "warn", "error"),
		Format: s.choice("format", "text", "text", "json"),
	}
}
