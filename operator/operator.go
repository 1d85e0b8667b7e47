// Package operator serves the health, status, dump and metrics of one instance to
// operators.
package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"monsoonswitch/descriptor"
)

// Paths that are served to operators.
const (
	HealthPath  = "/health"
	StatusPath  = "/status"
	DumpPath    = "/dump"
	MetricsPath = "/metrics"
)

// Source provides the state of the instance.
type Source interface {
	// Dump returns a consistent snapshot of the state, and false once the instance
	// has stopped.
	Dump() (descriptor.Dump, bool)
	// WriteMetrics writes all metrics in the Prometheus text format.
	WriteMetrics(io.Writer)
	// Settings returns the settings without secrets.
	Settings() any
	// Listening returns the addresses that the instance listens on.
	Listening() Listening
}

// Status is a summary of the state of an instance.
type Status struct {
	Instance    string    `json:"instance"`
	Incarnation int64     `json:"incarnation"`
	Domain      string    `json:"domain"`
	Ready       bool      `json:"ready"`
	Leaving     bool      `json:"leaving"`
	Members     []Peer    `json:"members"`
	Services    []InForce `json:"services"`
}

// Peer is an instance as known to the reporting instance.
type Peer struct {
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Domain   string `json:"domain"`
	State    string `json:"state"`
	Ready    bool   `json:"ready"`
}

// InForce is the revision of a declaration that is in force at an instance.
type InForce struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
	// Serving reports whether the instance handles requests of the service, as an owner
	// or a non-owner of its slots.
	Serving bool `json:"serving"`
	// Seconds is the time from the acceptance of the revision by the store until it was
	// in force at this instance; 0 means that it is unknown.
	Seconds float64 `json:"seconds,omitempty"`
}

// Listening holds the addresses that an instance listens on.
type Listening struct {
	Callers   string `json:"callers"`
	Inner     string `json:"inner"`
	Operators string `json:"operators"`
}

// FullDump is the state of an instance with its settings and addresses.
type FullDump struct {
	Settings  any             `json:"settings"`
	Listening Listening       `json:"listening"`
	State     descriptor.Dump `json:"state"`
}

// Operator is an HTTP handler for operators.
type Operator struct{ source Source }

// New returns a handler that serves the state of s.
func New(s Source) *Operator { return &Operator{source: s} }

// ServeHTTP implements http.Handler.
func (o *Operator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
		return
	}
	switch r.URL.Path {
	case HealthPath:
		o.serveHealth(w)
	case StatusPath:
		o.serveStatus(w)
	case DumpPath:
		o.serveDump(w)
	case MetricsPath:
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		o.source.WriteMetrics(w)
	default:
		http.NotFound(w, r)
	}
}

func (o *Operator) serveHealth(w http.ResponseWriter) {
	d, ok := o.source.Dump()
	if !ok || !d.Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, struct {
		Health string `json:"health"`
	}{"ready"})
}

func (o *Operator) serveStatus(w http.ResponseWriter) {
	d, ok := o.source.Dump()
	if !ok {
		http.Error(w, "stopped", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, StatusOf(d))
}

func (o *Operator) serveDump(w http.ResponseWriter) {
	d, ok := o.source.Dump()
	if !ok {
		http.Error(w, "stopped", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, FullDump{Settings: o.source.Settings(), Listening: o.source.Listening(), State: d})
}

// StatusOf returns the summary of a dump.
func StatusOf(d descriptor.Dump) Status {
	s := Status{
		Instance:    d.Instance.ID,
		Incarnation: d.Instance.Incarnation,
		Domain:      d.Instance.Domain,
		Ready:       d.Ready,
		Leaving:     d.Leaving,
	}
	for _, m := range d.Members {
		s.Members = append(s.Members, Peer{
			Instance: m.ID,
			Address:  m.Public,
			Domain:   m.Domain,
			State:    m.State.String(),
			Ready:    m.Ready,
		})
	}
	served := make(map[string]bool)
	for _, v := range d.Services {
		served[v.Name] = true
	}
	for _, v := range d.Declared {
		s.Services = append(s.Services, InForce{
			Service:  v.Name,
			Revision: v.Revision,
			Serving:  served[v.Name],
			Seconds:  delaySeconds(v.Accepted, v.InForce),
		})
	}
	return s
}

// delaySeconds returns the time between from and to in seconds, or 0 if from is zero or
// later than to.
func delaySeconds(from, to time.Time) float64 {
	if from.IsZero() || to.Before(from) {
		return 0
	}
	return to.Sub(from).Seconds()
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}
