// Package parser reads typed values from the sections of INI files. Its errors name
// the file, the section and the key.
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

// Load parses INI text, in which several sections may have the same name. It returns
// an error that wraps invalid and names file if the text is malformed.
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

// Section reads typed values from one section and keeps the first error, which Finish
// returns. A method that fails returns the value it read or a fallback.
type Section struct {
	file    string
	section *ini.Section
	// invalid is the error that every error wraps.
	invalid error
	// known lists the keys read so far.
	known []string
	err   error
}

// NewSection returns a reader of one section whose errors wrap invalid.
func NewSection(file string, s *ini.Section, invalid error) *Section {
	return &Section{file: file, section: s, invalid: invalid}
}

// Errorf returns an error that wraps invalid and names the file, section and key.
func Errorf(invalid error, file, section, key, format string, args ...any) error {
	return eris.Wrapf(invalid, "%s: [%s] %s: %s", file, section, key, fmt.Sprintf(format, args...))
}

// Fail records an error for a key unless an earlier one is recorded.
func (s *Section) Fail(key, format string, args ...any) {
	if s.err == nil {
		s.err = Errorf(s.invalid, s.file, s.section.Name(), key, format, args...)
	}
}

// Text returns the text of a key without surrounding spaces, or fallback if the key is
// missing. A repeated key is an error.
func (s *Section) Text(key, fallback string) string {
	s.known = append(s.known, key)
	if !s.section.HasKey(key) {
		return fallback
	}
	if len(s.section.Key(key).ValueWithShadows()) > 1 {
		s.Fail(key, "is set twice")
	}
	return strings.TrimSpace(s.section.Key(key).String())
}

// Required returns the text of a key; a missing or empty one is an error.
func (s *Section) Required(key string) string {
	v := s.Text(key, "")
	if v == "" {
		s.Fail(key, "is missing")
	}
	return v
}

// Words returns the non-empty parts of a comma-separated text.
func (s *Section) Words(key string) []string {
	var result []string
	for _, w := range strings.Split(s.Text(key, ""), ",") {
		if w = strings.TrimSpace(w); w != "" {
			result = append(result, w)
		}
	}
	return result
}

// Duration returns a duration, or fallback if the key is missing or empty. That is an
// error if fallback is negative.
func (s *Section) Duration(key string, fallback time.Duration) time.Duration {
	text := s.Text(key, "")
	if text == "" && fallback >= 0 {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		s.Fail(key, "%q is not a duration such as 200ms", text)
	}
	return d
}

// DurationIn returns a duration; one outside of minimum to maximum is an error.
func (s *Section) DurationIn(key string, fallback, minimum, maximum time.Duration) time.Duration {
	d := s.Duration(key, fallback)
	if d < minimum || d > maximum {
		s.Fail(key, "%v is out of range: must be from %v to %v", d, minimum, maximum)
	}
	return d
}

// Number returns a number, or fallback if the key is missing or empty.
func (s *Section) Number(key string, fallback float64) float64 {
	text := s.Text(key, "")
	if text == "" {
		return fallback
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v != v {
		s.Fail(key, "%q is not a number", text)
	}
	return v
}

// NumberIn returns a number; one outside of minimum to maximum is an error.
func (s *Section) NumberIn(key string, fallback, minimum, maximum float64) float64 {
	v := s.Number(key, fallback)
	if v < minimum || v > maximum {
		s.Fail(key, "%v is out of range: must be from %v to %v", v, minimum, maximum)
	}
	return v
}

// IntIn returns an integer; one outside of minimum to maximum is an error.
func (s *Section) IntIn(key string, fallback, minimum, maximum int) int {
	text := s.Text(key, strconv.Itoa(fallback))
	v, err := strconv.Atoi(text)
	if err != nil {
		s.Fail(key, "%q is not a whole number", text)
		return fallback
	}
	if v < minimum || v > maximum {
		s.Fail(key, "%d is out of range: must be from %d to %d", v, minimum, maximum)
	}
	return v
}

// Flag returns a boolean; it is false if the key is missing.
func (s *Section) Flag(key string) bool {
	text := s.Text(key, "false")
	v, err := strconv.ParseBool(text)
	if err != nil {
		s.Fail(key, "%q is neither true nor false", text)
	}
	return v
}

// Choice returns the text of a key, which must be one of words.
func (s *Section) Choice(key, fallback string, words ...string) string {
	v := s.Text(key, fallback)
	for _, w := range words {
		if v == w {
			return v
		}
	}
	s.Fail(key, "%q is not one of %s", v, strings.Join(words, ", "))
	return fallback
}

// Address returns an address of the form IP:PORT, or fallback if the key is missing;
// an empty one is an error.
func (s *Section) Address(key, fallback string) string {
	v := s.Text(key, fallback)
	if v == "" {
		s.Fail(key, "is missing")
		return v
	}
	s.checkAddress(key, v)
	return v
}

// OptionalAddress returns an address of the form IP:PORT, or an empty text if the key
// is missing.
func (s *Section) OptionalAddress(key string) string {
	v := s.Text(key, "")
	if v != "" {
		s.checkAddress(key, v)
	}
	return v
}

// Addresses returns the addresses of a comma-separated list.
func (s *Section) Addresses(key string) []string {
	list := s.Words(key)
	for _, v := range list {
		s.checkAddress(key, v)
	}
	return list
}

// maxPort is the largest TCP port number.
const maxPort = 65535

// checkAddress records an error unless v has the form IP:PORT.
func (s *Section) checkAddress(key, v string) {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		s.Fail(key, "%q is not of the form IP:PORT", v)
		return
	}
	if net.ParseIP(host) == nil {
		s.Fail(key, "%q: host is not an IP address", v)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > maxPort {
		s.Fail(key, "%q: port is not a number from 0 to %d", v, maxPort)
	}
}

// Finish returns the first error. A key of the section that was never read is an
// error too.
func (s *Section) Finish() error {
	if s.err != nil {
		return s.err
	}
	for _, k := range s.section.Keys() {
		if !s.isKnown(k.Name()) {
			s.Fail(k.Name(), "unknown key; known keys are %s", strings.Join(s.known, ", "))
		}
	}
	return s.err
}

// isKnown reports whether a key was read.
func (s *Section) isKnown(key string) bool {
	for _, k := range s.known {
		if k == key {
			return true
		}
	}
	return false
}
