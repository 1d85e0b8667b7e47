package experimenter

import (
	"fmt"
	"time"
)

// Required is what the production policies must reach in an experiment, from the users'
// targets. The zero value requires nothing.
type Required struct {
	// Served is the least share of the requests of the first load that is served, and
	// Tail bounds the 99th percentile of their latency; 0 means none.
	Served float64
	Tail   time.Duration
	// Avoided is the time from the start of the fault within which all instances have to
	// avoid the faulty backend server; 0 means none.
	Avoided time.Duration
	// Ejected reports whether the faulty backend server must be ejected too, and
	// Unejected whether nothing may be ejected.
	Ejected, Unejected bool
}

// WithRequired returns x with other requirements.
func (x Experiment) WithRequired(r Required) Experiment {
	x.Required = r
	return x
}

// Violations describes the guarantees that a result breaks, under any policies. A load of
// which nothing was sent breaks them too, since the result then shows nothing.
func (x Experiment) Violations(r Result) []string {
	var list []string
	violate := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	if len(x.Loads) == 0 {
		violate("sent: the experiment has no load")
	}
	for _, l := range x.Loads {
		if c := r.Classes[l.Class]; c == nil || c.Sent == 0 {
			violate("sent: no %s was sent", l.Class)
		}
	}
	for _, v := range []struct {
		name  string
		count int
	}{
		{"floor: checks that found too few backend servers", r.FloorBreaches},
		{"at most once: requests that ran twice", r.Duplicates},
		{"answers: requests that ended more than once", r.Repeated},
		{"answers: requests that never ended", r.Lost},
	} {
		if v.count > 0 {
			violate("%s: %d", v.name, v.count)
		}
	}
	return list
}

// Shortfalls describes what a result of the production policies misses of what is
// required.
func (x Experiment) Shortfalls(r Result) []string {
	var list []string
	violate := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	q := x.Required
	if len(x.Loads) > 0 {
		class := x.Loads[0].Class
		if c := r.Classes[class]; c != nil {
			if float64(c.Served) < q.Served*float64(c.Sent) {
				violate("served: %d of %d of %s, must be a share of at least %g", c.Served, c.Sent, class, q.Served)
			}
			if tail := c.Percentile(99); q.Tail > 0 && tail > q.Tail {
				violate("tail: 99th percentile of %s of %v, must be at most %v", class, tail, q.Tail)
			}
		}
	}
	if q.Avoided > 0 && (r.AvoidedAfter < 0 || r.AvoidedAfter > q.Avoided) {
		violate("gray: avoided after %v (negative means never), must be within %v", r.AvoidedAfter, q.Avoided)
	}
	if q.Ejected && r.EjectedAfter < 0 {
		violate("gray: never ejected")
	}
	if q.Unejected && r.Ejections > 0 {
		violate("ejections: %d, must be none", r.Ejections)
	}
	if r.FalseEjections > 0 {
		violate("false ejections: %d", r.FalseEjections)
	}
	return list
}
