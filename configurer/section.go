package configurer

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// section takes typed keys out of one section and remembers the first error.
type section struct {
	file  string
	name  string
	keys  *ini.Section
	known []string
	err   error
}

func newSection(file, name string, f *ini.File) *section {
	return &section{file: file, name: name, keys: f.Section(name)}
}

func (s *section) fail(key, format string, args ...any) {
	if s.err == nil {
		s.err = eris.Wrapf(ErrInvalid, "%s: [%s] %s: %s", s.file, s.name, key, fmt.Sprintf(format, args...))
	}
}

func (s *section) text(key, fallback string) string {
	s.known = append(s.known, key)
	if !s.keys.HasKey(key) {
		return fallback
	}
	return strings.TrimSpace(s.keys.Key(key).String())
}

// required returns a text that must not be empty.
func (s *section) required(key string) string {
	v := s.text(key, "")
	if v == "" {
		s.fail(key, "is missing")
	}
	return v
}

// namePattern allows the names that idempotency keys can carry.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

func (s *section) identifier(key string) string {
	v := s.required(key)
	if v != "" && !namePattern.MatchString(v) {
		s.fail(key, "%q is no name of lower-case letters, digits and dashes", v)
	}
	return v
}

// address returns host:port with an IP number as host.
func (s *section) address(key, fallback string) string {
	v := s.text(key, fallback)
	if v == "" {
		s.fail(key, "is missing")
		return v
	}
	if problem := addressProblem(v); problem != "" {
		s.fail(key, "%q: %s", v, problem)
	}
	return v
}

func addressProblem(v string) string {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return "is not of the form IP:PORT"
	}
	if net.ParseIP(host) == nil {
		return "has no IP number as host"
	}
	n, err := strconv.Atoi(port)
	if err != nil || n < 0 || n > 65535 {
		return "has no port from 0 to 65535"
	}
	return ""
}

// addresses returns a list of addresses separated by commas.
func (s *section) addresses(key string) []string {
	var result []string
	for _, v := range strings.Split(s.text(key, ""), ",") {
		v = strings.TrimSpace(v)
		if v == "" {
			continue
		}
		if problem := addressProblem(v); problem != "" {
			s.fail(key, "%q: %s", v, problem)
		}
		result = append(result, v)
	}
	return result
}

// duration returns a duration from least to most.
func (s *section) duration(key string, fallback, least, most time.Duration) time.Duration {
	text := s.text(key, fallback.String())
	v, err := time.ParseDuration(text)
	if err != nil {
		s.fail(key, "%q is no duration such as 500ms", text)
		return fallback
	}
	if v < least || v > most {
		s.fail(key, "%v is not from %v to %v", v, least, most)
	}
	return v
}

// number returns a whole number from least to most.
func (s *section) number(key string, fallback, least, most int) int {
	text := s.text(key, strconv.Itoa(fallback))
	v, err := strconv.Atoi(text)
	if err != nil {
		s.fail(key, "%q is no whole number", text)
		return fallback
	}
	if v < least || v > most {
		s.fail(key, "%d is not from %d to %d", v, least, most)
	}
	return v
}

// choice returns one of the given words.
func (s *section) choice(key, fallback string, words ...string) string {
	v := s.text(key, fallback)
	for _, w := range words {
		if v == w {
			return v
		}
	}
	s.fail(key, "%q is none of %s", v, strings.Join(words, ", "))
	return fallback
}

// finish returns the first error, an unknown key among them.
func (s *section) finish() error {
	if s.err != nil {
		return s.err
	}
	for _, k := range s.keys.Keys() {
		if !s.isKnown(k.Name()) {
			s.fail(k.Name(), "unknown key; known are %s", strings.Join(s.known, ", "))
		}
	}
	return s.err
}

func (s *section) isKnown(key string) bool {
	for _, k := range s.known {
		if k == key {
			return true
		}
	}
	return false
}
