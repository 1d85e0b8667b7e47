// Package loader runs load experiments: callers send requests to a fleet while faults
// are injected on a schedule. It then checks the fleet's guarantees against the
// counts of callers and backend servers.
package loader

import (
	"embed"
	"io/fs"
	"net/http"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"monsoonswitch/declarer"
	"monsoonswitch/parser"
)

//go:embed deployments scenarios
var embedded embed.FS

// ErrScenario reports a scenario that is malformed or out of range.
var ErrScenario = eris.New("invalid scenario")

// Scenario describes one experiment.
type Scenario struct {
	Name string
	// Deployment names the deployment in deployments.
	Deployment string
	Duration   time.Duration
	Seed       uint64
	Instances  int
	Policy     string
	// Disturbed reports whether instances are killed or cut off from outside. Their last
	// counts may then be lost, so that the report is not compared with those of callers.
	Disturbed bool
	// Planned reports whether all that happens is planned, so that no answer may be cut.
	Planned bool
	Work    []Work
	Faults  []Fault
}

// Work describes callers that send the same kind of work.
type Work struct {
	Name    string
	Service string
	Class   string
	Method  string
	Path    string
	// Rate is the mean number of requests a second.
	Rate float64
	// PeakFactor multiplies the rate between PeakFrom and PeakTo.
	PeakFactor       float64
	PeakFrom, PeakTo time.Duration
	// Callers is the number of distinct callers.
	Callers int
	// Size is the length of response bodies in bytes.
	Size int
	// Weight is the service time as a multiple of the median service time.
	Weight float64
	// Body is the length of request bodies in bytes, sent at BodyRate bytes a
	// second; 0 means at once.
	Body     int
	BodyRate int
	// Chunked reports whether request bodies are sent in chunks, without a length.
	Chunked bool
	// Behind is the number of requests that are sent behind one before its answer. Rate is
	// not used then: each caller keeps a connection and reads ReadRate bytes a second; 0
	// means without a limit.
	Behind   int
	ReadRate int
	// Keyed reports whether requests carry an idempotency key.
	Keyed bool
	// Idempotent reports whether a request is repeated without a key if its
	// connection breaks.
	Idempotent bool
	Timeout    time.Duration
	// Least is the share of the requests that must be served, from 0 to 1; poison
	// requests must be refused as such instead. If it is not 0, half of the served
	// requests must be served within the target of their class.
	Least float64
	// Poison is the number of requests, from the first one on, that crash the
	// backend server that runs them.
	Poison int
}

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults. Those of the imitator package are described there.
const (
	FaultStall  FaultKind = "stall"
	FaultErrors FaultKind = "errors"
	FaultCut    FaultKind = "cut"
	FaultLate   FaultKind = "late"
	FaultFlap   FaultKind = "flap"
	FaultDrain  FaultKind = "drain"
	FaultLeave  FaultKind = "leave"
	FaultTurn   FaultKind = "turn"
	FaultRepeat FaultKind = "repeat"
	FaultCopy   FaultKind = "copy"
	FaultOdd    FaultKind = "odd"
	FaultPart   FaultKind = "part"
	// FaultCrash crashes a backend server. FaultRestart does so too, and lists it under
	// another ID at the same address; the old entry is removed at the end of the fault. It
	// turns work away meanwhile and copies its refusals.
	FaultCrash   FaultKind = "crash"
	FaultRestart FaultKind = "restart"
	FaultOutage  FaultKind = "outage"
	FaultSlow    FaultKind = "slow"
	FaultLost    FaultKind = "lost"
	// FaultReplace replaces all instances, one after the other.
	FaultReplace FaultKind = "replace"
	// FaultOneWay blocks the inbound direction of the links that one instance
	// accepted.
	FaultOneWay FaultKind = "oneway"
)

// Fault is one scheduled fault.
type Fault struct {
	Name string
	Kind FaultKind
	From time.Duration
	To   time.Duration
	// Service and Index select a backend server; for links Index selects an
	// instance.
	Service string
	Index   int
	// Share is the affected share of requests from 0 to 1, and Time the delay or
	// period, for the kinds that use them.
	Share float64
	Time  time.Duration
	// Found is the time within which all instances have to avoid the gray backend
	// server; 0 means that they need not.
	Found time.Duration
}

// gray reports whether the fault makes a backend server gray.
func (f Fault) gray() bool {
	switch f.Kind {
	case FaultStall, FaultErrors, FaultCut, FaultLate, FaultFlap:
		return true
	}
	return false
}

// crashes reports whether the fault crashes a backend server.
func (f Fault) crashes() bool { return f.Kind == FaultCrash || f.Kind == FaultRestart }

// crashes reports whether a fault of the scenario crashes a backend server.
func (s Scenario) crashes() bool { return slices.ContainsFunc(s.Faults, Fault.crashes) }

// Load reads a scenario from a file, or the embedded scenario of that name. It
// returns an error that wraps ErrScenario if there is neither or it is invalid.
func Load(name string) (Scenario, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		var embeddedErr error
		data, embeddedErr = embedded.ReadFile(path.Join("scenarios", name+".ini"))
		if embeddedErr != nil {
			return Scenario{}, eris.Wrapf(ErrScenario, "%s: %v; embedded scenarios are %s", name, err, strings.Join(Names(), ", "))
		}
	}
	return Parse(name, data)
}

// Names returns the names of the embedded scenarios.
func Names() []string {
	files, _ := fs.Glob(embedded, "scenarios/*.ini")
	names := make([]string, 0, len(files))
	for _, f := range files {
		names = append(names, strings.TrimSuffix(path.Base(f), ".ini"))
	}
	return names
}

// Parse parses a scenario from INI text. The errors wrap ErrScenario and mention file.
func Parse(file string, data []byte) (Scenario, error) {
	f, err := parser.Load(file, data, ErrScenario)
	if err != nil {
		return Scenario{}, err
	}
	var s Scenario
	for _, sec := range f.Sections() {
		kind, name, _ := strings.Cut(sec.Name(), " ")
		k := parser.NewSection(file, sec, ErrScenario)
		switch kind {
		case ini.DefaultSection:
		case "scenario":
			s.load(k)
		case "work":
			s.Work = append(s.Work, loadWork(k, name))
		case "fault":
			s.Faults = append(s.Faults, loadFault(k, name))
		default:
			k.Fail("-", "unknown section")
		}
		if err := k.Finish(); err != nil {
			return s, err
		}
	}
	return s, s.check(file)
}

func (s *Scenario) load(k *parser.Section) {
	s.Name = k.Text("name", "")
	s.Deployment = k.Text("deployment", "pelletier")
	s.Duration = k.Duration("duration", 10*time.Second)
	s.Seed = uint64(k.Number("seed", 1))
	s.Instances = int(k.Number("instances", 3))
	s.Policy = k.Text("policy", "standard")
}

func loadWork(k *parser.Section, name string) Work {
	return Work{
		Name:       name,
		Service:    k.Text("service", ""),
		Class:      k.Text("class", ""),
		Method:     k.Text("method", http.MethodGet),
		Path:       k.Text("path", "/"),
		Rate:       k.Number("rate", 10),
		PeakFactor: k.Number("crest", 1),
		PeakFrom:   k.Duration("crestfrom", 0),
		PeakTo:     k.Duration("crestto", 0),
		Callers:    int(k.Number("callers", 20)),
		Size:       int(k.Number("size", 256)),
		Weight:     k.Number("weight", 1),
		Body:       int(k.Number("body", 0)),
		BodyRate:   int(k.Number("bodyrate", 0)),
		Chunked:    k.Flag("chunked"),
		Behind:     int(k.NumberIn("behind", 0, 0, maxBehind)),
		ReadRate:   int(k.Number("readrate", 0)),
		Keyed:      k.Flag("keyed"),
		Idempotent: k.Flag("idempotent"),
		Timeout:    k.Duration("timeout", 10*time.Second),
		Least:      k.NumberIn("least", defaultLeast, 0, 1),
		Poison:     int(k.Number("poison", 0)),
	}
}

// maxBehind bounds the requests that are sent behind one before its answer.
const maxBehind = 16

// defaultLeast is the share of the requests of a kind of work that must be served in a
// scenario that does not specify another one.
const defaultLeast = 0.9

// defaultFound is the time within which a gray backend server has to be avoided in a
// scenario that does not specify another one.
const defaultFound = 5 * time.Second

func loadFault(k *parser.Section, name string) Fault {
	f := Fault{
		Name:    name,
		Kind:    FaultKind(k.Text("kind", "")),
		From:    k.Duration("from", 0),
		To:      k.Duration("to", time.Hour),
		Service: k.Text("service", ""),
		Index:   int(k.Number("index", 0)),
		Share:   k.Number("share", 0),
		Time:    k.Duration("time", 0),
	}
	if f.gray() {
		f.Found = k.Duration("found", defaultFound)
	}
	return f
}

// maxDuration bounds the duration of a scenario.
const maxDuration = 5 * time.Minute

// check returns an error if a value is out of range or names an unknown service.
func (s *Scenario) check(file string) error {
	if s.Duration <= 0 || s.Duration > maxDuration {
		return eris.Wrapf(ErrScenario, "%s: duration %v is out of range: must be more than 0 and at most %v", file, s.Duration, maxDuration)
	}
	if s.Instances < 1 || s.Instances > 48 {
		return eris.Wrapf(ErrScenario, "%s: %d instances are out of range: must be from 1 to 48", file, s.Instances)
	}
	d, err := deploymentOf(s.Deployment)
	if err != nil {
		return err
	}
	if len(s.Work) == 0 {
		return eris.Wrapf(ErrScenario, "%s: no work", file)
	}
	for _, w := range s.Work {
		if err := w.check(file, d); err != nil {
			return err
		}
	}
	for _, f := range s.Faults {
		if err := f.check(file, d); err != nil {
			return err
		}
		if f.From >= min(f.To, s.Duration) {
			return eris.Wrapf(ErrScenario, "%s: fault %s: from is out of range: must be before to and the end of the scenario", file, f.Name)
		}
	}
	return nil
}

func (w Work) check(file string, d deployment) error {
	service, ok := d.service(w.Service)
	if !ok {
		return eris.Wrapf(ErrScenario, "%s: work %s: unknown service %q", file, w.Name, w.Service)
	}
	class, ok := service.Match(w.Method, w.Path)
	if !ok || class.Name != w.Class {
		return eris.Wrapf(ErrScenario, "%s: work %s: class does not match: %s %s is routed to class %q (empty if no route matches)", file, w.Name, w.Method, w.Path, class.Name)
	}
	if w.Rate <= 0 || w.Rate*max(1, w.PeakFactor) > 20000 {
		return eris.Wrapf(ErrScenario, "%s: work %s: rate is out of range: must be more than 0 and, multiplied by crest, at most 20000", file, w.Name)
	}
	return nil
}

func (f Fault) check(file string, d deployment) error {
	switch f.Kind {
	case FaultOutage, FaultSlow, FaultLost, FaultReplace, FaultOneWay:
		return nil
	case FaultStall, FaultErrors, FaultCut, FaultLate, FaultFlap, FaultDrain, FaultLeave, FaultTurn, FaultRepeat,
		FaultCopy, FaultCrash, FaultRestart, FaultOdd, FaultPart:
		if _, ok := d.service(f.Service); !ok {
			return eris.Wrapf(ErrScenario, "%s: fault %s: unknown service %q", file, f.Name, f.Service)
		}
		if f.Index < 0 || f.Index >= d.sizes[f.Service] {
			return eris.Wrapf(ErrScenario, "%s: fault %s: index is out of range: must be from 0 to %d", file, f.Name, d.sizes[f.Service]-1)
		}
		return nil
	}
	return eris.Wrapf(ErrScenario, "%s: fault %s: unknown kind %q", file, f.Name, f.Kind)
}

// WriteDeclarations writes the embedded declarations of a deployment to a new temporary
// directory and returns its path.
func WriteDeclarations(deployment string) (string, error) {
	files, err := fs.Glob(embedded, "deployments/"+deployment+"/*.ini")
	if err != nil || len(files) == 0 {
		return "", eris.Wrapf(ErrScenario, "unknown deployment %q", deployment)
	}
	folder, err := os.MkdirTemp("", "declarations-")
	if err != nil {
		return "", eris.Wrap(err, "create a directory")
	}
	for _, f := range files {
		data, err := embedded.ReadFile(f)
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, path.Base(f)), data, 0o600)
		}
		if err != nil {
			return "", eris.Wrap(err, "write declaration")
		}
	}
	return folder, nil
}

// declarations reads the embedded declarations of a deployment.
func declarations(name string) ([]declarer.Service, error) {
	files, err := fs.Glob(embedded, "deployments/"+name+"/*.ini")
	if err != nil || len(files) == 0 {
		return nil, eris.Wrapf(ErrScenario, "unknown deployment %q", name)
	}
	var result []declarer.Service
	for _, f := range files {
		data, err := embedded.ReadFile(f)
		if err != nil {
			return nil, eris.Wrap(err, "read declaration")
		}
		s, err := declarer.Parse(f, data)
		if err != nil {
			return nil, err
		}
		result = append(result, s)
	}
	return result, nil
}
