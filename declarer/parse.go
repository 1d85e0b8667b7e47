package declarer

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// ErrInvalid reports a declaration that can't be accepted.
var ErrInvalid = eris.New("invalid declaration")

// Limits of one declaration.
const (
	// MaxBytes bounds the length of a declaration file in bytes.
	MaxBytes = 256 << 10
	// MaxClasses bounds the classes of a service.
	MaxClasses = 16
	// MaxRoutes bounds the routes of a service.
	MaxRoutes = 1000
	// MaxTarget bounds the target of a class.
	MaxTarget = 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// problem names the file, section and key of an error.
type problem struct {
	file, section, key string
}

func (p problem) errorf(format string, args ...any) error {
	detail := fmt.Sprintf(format, args...)
	return eris.Wrapf(ErrInvalid, "%s: [%s] %s: %s", p.file, p.section, p.key, detail)
}

// Load reads the declaration file at path.
func Load(path string) (Service, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Service{}, eris.Wrap(err, "read declaration")
	}
	return Parse(path, data)
}

// LoadAll reads a file, or each .ini file of a directory in name order.
func LoadAll(path string) ([]Service, error) {
	files, err := listFiles(path)
	if err != nil {
		return nil, err
	}
	seen := make(map[string]string, len(files))
	services := make([]Service, 0, len(files))
	for _, f := range files {
		s, err := Load(f)
		if err != nil {
			return nil, err
		}
		if other, ok := seen[s.Name]; ok {
			return nil, problem{f, "service", "name"}.errorf("%q is also declared in %s", s.Name, other)
		}
		seen[s.Name] = f
		services = append(services, s)
	}
	return services, nil
}

func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, eris.Wrap(err, "open declarations")
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(path, "*.ini"))
	if err != nil {
		return nil, eris.Wrap(err, "list declarations")
	}
	if len(files) == 0 {
		return nil, eris.Wrapf(ErrInvalid, "%s: no .ini file", path)
	}
	sort.Strings(files)
	return files, nil
}

// Parse reads a declaration; file names the source in errors.
func Parse(file string, data []byte) (Service, error) {
	if len(data) > MaxBytes {
		return Service{}, eris.Wrapf(ErrInvalid, "%s: longer than %d bytes", file, MaxBytes)
	}
	f, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true, KeyValueDelimiters: "="}, data)
	if err != nil {
		return Service{}, eris.Wrapf(ErrInvalid, "%s: %v", file, err)
	}
	var s Service
	found := false
	for _, sec := range f.Sections() {
		kind, name, _ := strings.Cut(sec.Name(), " ")
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		if kind == "service" && found {
			return Service{}, problem{file, "service", "name"}.errorf("a file declares one service")
		}
		found = found || kind == "service"
		if err := s.addSection(file, kind, name, sec); err != nil {
			return Service{}, err
		}
	}
	return s, s.Check(file)
}

func (s *Service) addSection(file, kind, name string, sec *ini.Section) error {
	r := reader{file: file, section: sec}
	switch kind {
	case "service":
		s.Name = r.text("name", "")
		s.State = r.state("state")
		s.Floor, s.Share = r.floor("floor")
	case "class":
		s.Classes = append(s.Classes, Class{
			Name:       name,
			Target:     r.duration("target"),
			Idempotent: r.flag("idempotent"),
			Long:       r.flag("long"),
			Keyless:    r.flag("keyless"),
		})
	case "route":
		s.Routes = append(s.Routes, Route{
			Name:    name,
			Methods: r.words("method"),
			Path:    r.text("path", ""),
			Class:   r.text("class", ""),
		})
	default:
		return problem{file, sec.Name(), "-"}.errorf("unknown section")
	}
	return r.finish()
}

// reader takes typed keys out of one section and remembers the first error.
type reader struct {
	file    string
	section *ini.Section
	known   []string
	err     error
}

func (r *reader) fail(key, format string, args ...any) {
	if r.err == nil {
		r.err = problem{r.file, r.section.Name(), key}.errorf(format, args...)
	}
}

func (r *reader) text(key, fallback string) string {
	r.known = append(r.known, key)
	if !r.section.HasKey(key) {
		return fallback
	}
	return strings.TrimSpace(r.section.Key(key).String())
}

func (r *reader) words(key string) []string {
	var result []string
	for _, w := range strings.Split(r.text(key, ""), ",") {
		if w = strings.TrimSpace(w); w != "" {
			result = append(result, strings.ToUpper(w))
		}
	}
	return result
}

func (r *reader) duration(key string) time.Duration {
	text := r.text(key, "")
	d, err := time.ParseDuration(text)
	if err != nil {
		r.fail(key, "%q is no duration such as 200ms", text)
	}
	return d
}

func (r *reader) flag(key string) bool {
	text := r.text(key, "false")
	v, err := strconv.ParseBool(text)
	if err != nil {
		r.fail(key, "%q is neither true nor false", text)
	}
	return v
}

func (r *reader) state(key string) State {
	text := r.text(key, "open")
	for st := Open; st <= Closed; st++ {
		if st.String() == text {
			return st
		}
	}
	r.fail(key, "%q is none of open, closing, closed", text)
	return Open
}

func (r *reader) floor(key string) (int, float64) {
	text := r.text(key, "")
	if percent, ok := strings.CutSuffix(text, "%"); ok {
		v, err := strconv.ParseFloat(percent, 64)
		if err != nil || !(v > 0 && v <= 100) {
			r.fail(key, "%q is no percentage from 0%% to 100%%", text)
		}
		return 1, v / 100
	}
	v, err := strconv.Atoi(text)
	if err != nil || v < 1 {
		r.fail(key, "%q is neither a number of backend servers from 1 nor a percentage", text)
	}
	return v, 0
}

func (r *reader) finish() error {
	if r.err != nil {
		return r.err
	}
	for _, k := range r.section.Keys() {
		if !contains(r.known, k.Name()) {
			r.fail(k.Name(), "unknown key; known are %s", strings.Join(r.known, ", "))
		}
	}
	return r.err
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
