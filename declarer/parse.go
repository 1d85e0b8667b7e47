package declarer

import (
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"monsoonswitch/parser"
)

// ErrInvalid is the error for an invalid declaration.
var ErrInvalid = eris.New("invalid declaration")

// Limits of one declaration.
const (
	// MaxBytes is the maximum length of a declaration file in bytes.
	MaxBytes = 256 << 10
	// MaxClasses is the maximum number of classes of a service.
	MaxClasses = 16
	// MaxRoutes is the maximum number of routes of a service.
	MaxRoutes = 1000
	// MaxTarget is the maximum target latency of a class.
	MaxTarget = 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// location is the file, section and key that an error refers to.
type location struct {
	file, section, key string
}

func (p location) errorf(format string, args ...any) error {
	return parser.Errorf(ErrInvalid, p.file, p.section, p.key, format, args...)
}

// Load reads and checks the declaration file at path.
func Load(path string) (Service, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Service{}, eris.Wrap(err, "read declaration")
	}
	return Parse(path, data)
}

// LoadAll reads and checks a declaration file, or all .ini files of a directory in
// name order. It returns an error if two files declare the same service.
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
			return nil, location{f, "service", "name"}.errorf("%q is also declared in %s", s.Name, other)
		}
		seen[s.Name] = f
		services = append(services, s)
	}
	return services, nil
}

// listFiles returns path, or the .ini files in it if it is a directory.
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
		return nil, eris.Wrapf(ErrInvalid, "%s: directory has no .ini files", path)
	}
	sort.Strings(files)
	return files, nil
}

// Parse parses and checks a declaration. Errors name file as the source.
func Parse(file string, data []byte) (Service, error) {
	if len(data) > MaxBytes {
		return Service{}, eris.Wrapf(ErrInvalid, "%s: file is longer than %d bytes", file, MaxBytes)
	}
	f, err := parser.Load(file, data, ErrInvalid)
	if err != nil {
		return Service{}, err
	}
	var s Service
	found := false
	for _, sec := range f.Sections() {
		kind, name, _ := strings.Cut(sec.Name(), " ")
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		if kind == "service" && found {
			return Service{}, location{file, "service", "name"}.errorf("a file must declare only one service")
		}
		found = found || kind == "service"
		if err := s.addSection(file, kind, name, sec); err != nil {
			return Service{}, err
		}
	}
	return s, s.Check(file)
}

// addSection adds the settings of one section to s.
func (s *Service) addSection(file, kind, name string, sec *ini.Section) error {
	r := parser.NewSection(file, sec, ErrInvalid)
	switch kind {
	case "service":
		s.Name = r.Text("name", "")
		s.State = stateOf(r, "state")
		s.Floor, s.Share = floorOf(r, "floor")
	case "class":
		s.Classes = append(s.Classes, Class{
			Name:       name,
			Target:     r.Duration("target", -1),
			Idempotent: r.Flag("idempotent"),
			Long:       r.Flag("long"),
			Keyless:    r.Flag("keyless"),
		})
	case "route":
		s.Routes = append(s.Routes, Route{
			Name:    name,
			Methods: methods(r, "method"),
			Path:    r.Text("path", ""),
			Class:   r.Text("class", ""),
		})
	default:
		return location{file, sec.Name(), "-"}.errorf("unknown section")
	}
	return r.Finish()
}

// stateOf parses the state of a service; the default is Open.
func stateOf(r *parser.Section, key string) State {
	text := r.Text(key, "open")
	for st := Open; st <= Closed; st++ {
		if st.String() == text {
			return st
		}
	}
	r.Fail(key, "%q is not one of open, closing, closed", text)
	return Open
}

// floorOf parses a floor, which is a number of backend servers or a percentage. It
// returns Floor and Share of a service.
func floorOf(r *parser.Section, key string) (int, float64) {
	text := r.Text(key, "")
	if percent, ok := strings.CutSuffix(text, "%"); ok {
		v, err := strconv.ParseFloat(percent, 64)
		if err != nil || !(v > 0 && v <= 100) {
			r.Fail(key, "%q is not a percentage of more than 0%% and at most 100%%", text)
		}
		return 1, v / 100
	}
	v, err := strconv.Atoi(text)
	if err != nil || v < 1 {
		r.Fail(key, "%q is not a floor: must be a number of backend servers of at least 1, or a percentage", text)
	}
	return v, 0
}

// methods parses a list of HTTP methods.
func methods(r *parser.Section, key string) []string {
	var result []string
	for _, w := range r.Words(key) {
		result = append(result, strings.ToUpper(w))
	}
	return result
}
