// Package parser takes typed keys out of the sections of INI files and says
// which file, section and key is wrong.
package parser

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Load reads INI text. Sections of one name may stand more than once.
func Load(file string, data []byte, invalid error) (*ini.File, error) {
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		KeyValueDelimiters:         "=",
	}, data)
	if err != nil {
		return nil, eris.Wrapf(invalid, "%s: %v", file, err)
	}
	return f, nil
}

// Section takes typed keys out of one section and remembers the first error.
type Section struct {
	file    string
	section *ini.Section
	// invalid is the sentinel that every error wraps.
	invalid error
	// known lists the keys asked for so far.
	known []string
	err   error
}

// NewSection returns a reader of one section whose errors wrap invalid.
func NewSection(file string, s *ini.Section, invalid error) *Section {
	return &Section{file: file, section: s, invalid: invalid}
}

// Errorf returns an error that names file, section and key.
func Errorf(invalid error, file, section, key, format string, args ...any) error {
	return eris.Wrapf(invalid, "%s: [%s] %s: %s", file, section, key, fmt.Sprintf(format, args...))
}

// Fail remembers an error unless there is one already.
func (s *Section) Fail(key, format string, args ...any) {
	if s.err == nil {
		s.err = Errorf(s.invalid, s.file, s.section.Name(), key, format, args...)
	}
}

// Text returns a text.
func (s *Section) Text(key, fallback string) string {
	s.known = append(s.known, key)
	if !s.section.HasKey(key) {
		return fallback
	}
	if len(s.section.Key(key).ValueWithShadows()) > 1 {
		s.Fail(key, "stands twice")
	}
	return strings.TrimSpace(s.section.Key(key).String())
}

// Required returns a text that must not be empty.
func (s *Section) Required(key string) string {
	v := s.Text(key, "")
	if v == "" {
		s.Fail(key, "is missing")
	}
	return v
}

// Words returns the parts of a text between commas.
func (s *Section) Words(key string) []string {
	var result []string
	for _, w := range strings.Split(s.Text(key, ""), ",") {
		if w = strings.TrimSpace(w); w != "" {
			result = append(result, w)
		}
	}
	return result
}

// Duration returns a duration. A missing one is an error if fallback is negative.
func (s *Section) Duration(key string, fallback time.Duration) time.Duration {
	text := s.Text(key, "")
	if text == "" && fallback >= 0 {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		s.Fail(key, "%q is no duration such as 200ms", text)
	}
	return d
}

// DurationIn returns a duration from least to most.
func (s *Section) DurationIn(key string, fallback, least, most time.Duration) time.Duration {
	d := s.Duration(key, fallback)
	if d < least || d > most {
		s.Fail(key, "%v is not from %v to %v", d, least, most)
	}
	return d
}

// Number returns a number.
func (s *Section) Number(key string, fallback float64) float64 {
	text := s.Text(key, "")
	if text == "" {
		return fallback
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v != v {
		s.Fail(key, "%q is no number", text)
	}
	return v
}

// NumberIn returns a number from least to most.
func (s *Section) NumberIn(key string, fallback, least, most float64) float64 {
	v := s.Number(key, fallback)
	if v < least || v > most {
		s.Fail(key, "%v is not from %v to %v", v, least, most)
	}
	return v
}

// IntIn returns a whole number from least to most.
func (s *Section) IntIn(key string, fallback, least, most int) int {
	text := s.Text(key, strconv.Itoa(fallback))
	v, err := strconv.Atoi(text)
	if err != nil {
		s.Fail(key, "%q is no whole number", text)
		return fallback
	}
	if v < least || v > most {
		s.Fail(key, "%d is not from %d to %d", v, least, most)
	}
	return v
}

// Flag returns true or false.
func (s *Section) Flag(key string) bool {
	text := s.Text(key, "false")
	v, err := strconv.ParseBool(text)
	if err != nil {
		s.Fail(key, "%q is neither true nor false", text)
	}
	return v
}

// Choice returns one of the given words.
func (s *Section) Choice(key, fallback string, words ...string) string {
	v := s.Text(key, fallback)
	for _, w := range words {
		if v == w {
			return v
		}
	}
	s.Fail(key, "%q is none of %s", v, strings.Join(words, ", "))
	return fallback
}

// Address returns host:port with an IP number as host.
func (s *Section) Address(key, fallback string) string {
	v := s.Text(key, fallback)
	if v == "" {
		s.Fail(key, "is missing")
		return v
	}
	s.checkAddress(key, v)
	return v
}

// OptionalAddress returns an address or an empty text.
func (s *Section) OptionalAddress(key string) string {
	v := s.Text(key, "")
	if v != "" {
		s.checkAddress(key, v)
	}
	return v
}

// Addresses returns the addresses between commas.
func (s *Section) Addresses(key string) []string {
	list := s.Words(key)
	for _, v := range list {
		s.checkAddress(key, v)
	}
	return list
}

// maxPort is the largest port.
const maxPort = 65535

func (s *Section) checkAddress(key, v string) {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		s.Fail(key, "%q: is not of the form IP:PORT", v)
		return
	}
	if net.ParseIP(host) == nil {
		s.Fail(key, "%q: has no IP number as host", v)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > maxPort {
		s.Fail(key, "%q: has no port from 0 to %d", v, maxPort)
	}
}

// Finish returns the first error, a key that nobody asked for among them.
func (s *Section) Finish() error {
	if s.err != nil {
		return s.err
	}
	for _, k := range s.section.Keys() {
		if !s.isKnown(k.Name()) {
			s.Fail(k.Name(), "unknown key; known are %s", strings.Join(s.known, ", "))
		}
	}
	return s.err
}

func (s *Section) isKnown(key string) bool {
	for _, k := range s.known {
		if k == key {
			return true
		}
	}
	return false
}
