package configurer

import (
	"regexp"

	"monsoonswitch/parser"
)

// namePattern allows the names that idempotency keys can carry.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// identifier returns a name of lower-case letters, digits and dashes.
func identifier(s *parser.Section, key string) string {
	v := s.Required(key)
	if v != "" && !namePattern.MatchString(v) {
		s.Fail(key, "%q is no name of lower-case letters, digits and dashes", v)
	}
	return v
}
