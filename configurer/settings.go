// Package configurer loads and validates the settings of an instance from an INI file.
// Each section has one Go file and one loading function.
package configurer

import (
	"os"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"monsoonswitch/parser"
)

// ErrInvalid reports invalid settings.
var ErrInvalid = eris.New("invalid settings")

// Settings holds all settings of an entry instance.
type Settings struct {
	Instance  Instance
	Callers   Callers
	Inner     Inner
	Operators Operators
	Platform  Platform
	Log       Log
	Limits    Limits
	Retries   Retries
	Customers Customers
	Quotas    Quotas
}

// loaders holds the loading function of each section.
var loaders = map[string]func(*parser.Section, *Settings){
	"instance":  loadInstance,
	"callers":   loadCallers,
	"inner":     loadInner,
	"operators": loadOperators,
	"platform":  loadPlatform,
	"log":       loadLog,
	"limits":    loadLimits,
	"retries":   loadRetries,
	"customers": loadCustomers,
	"quotas":    loadQuotas,
}

// Load reads the settings file at path. It returns ErrInvalid if the file can't be read or
// is not valid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrapf(ErrInvalid, "%v", err)
	}
	return Parse(path, data)
}

// Parse parses and validates settings. file is the name of the source in errors. It
// returns ErrInvalid if the settings are not valid.
func Parse(file string, data []byte) (Settings, error) {
	var s Settings
	f, err := parser.Load(file, data, ErrInvalid)
	if err != nil {
		return s, err
	}
	seen := make(map[string]bool)
	for _, sec := range f.Sections() {
		if seen[sec.Name()] {
			return s, eris.Wrapf(ErrInvalid, "%s: [%s]: is declared twice", file, sec.Name())
		}
		seen[sec.Name()] = true
		if _, ok := loaders[sec.Name()]; !ok && (sec.Name() != ini.DefaultSection || len(sec.Keys()) > 0) {
			return s, eris.Wrapf(ErrInvalid, "%s: [%s]: unknown section; known sections are %s", file, sec.Name(), sectionNames())
		}
	}
	for _, name := range sortedSections() {
		sec := parser.NewSection(file, f.Section(name), ErrInvalid)
		loaders[name](sec, &s)
		if err := sec.Finish(); err != nil {
			return s, err
		}
	}
	if s.Platform.Source == SourceRouting && len(s.Callers.Questions) == 0 {
		return s, eris.Wrapf(ErrInvalid, "%s: [callers] questions: required with [platform] source = %s, since all paths of listen belong to routes", file, SourceRouting)
	}
	return s, nil
}

func sortedSections() []string {
	names := make([]string, 0, len(loaders))
	for name := range loaders {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func sectionNames() string { return strings.Join(sortedSections(), ", ") }
