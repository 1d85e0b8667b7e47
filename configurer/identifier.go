package configurer

import (
	"regexp"

	"monsoonswitch/parser"
)

// identifierPattern matches the names that can be part of an idempotency key.
var identifierPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// identifier returns the required name under key. It reports a name that does not consist
// of lower-case letters, digits and dashes.
func identifier(s *parser.Section, key string) string {
	v := s.Required(key)
	if v != "" && !identifierPattern.MatchString(v) {
		s.Fail(key, "%q is not a valid name: must be 1 to 63 lower-case letters, digits and dashes, not beginning with a dash", v)
	}
	return v
}
