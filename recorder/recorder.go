// Package recorder keeps the metrics of a process.
package recorder

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"monsoonswitch/descriptor"
)

// Parameters of the latency sample.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Recorder keeps the metrics of one instance. It is safe for use by many
// goroutines.
type Recorder struct {
	registry metrics.Registry
	served   metrics.Timer
	// ended counts the requests by reason.
	ended    []metrics.Counter
	open     metrics.Counter
	attempts metrics.Counter
	faults   metrics.Counter
	bytes    metrics.Counter
}

// New returns a recorder without counts.
func New() *Recorder {
	r := &Recorder{registry: metrics.NewRegistry()}
	r.served = metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha)), metrics.NewMeter())
	r.open = metrics.NewCounter()
	r.attempts = metrics.NewCounter()
	r.faults = metrics.NewCounter()
	r.bytes = metrics.NewCounter()
	r.register("served", r.served)
	r.register("open", r.open)
	r.register("attempts", r.attempts)
	r.register("faults", r.faults)
	r.register("bytes", r.bytes)
	for _, reason := range descriptor.Reasons() {
		c := metrics.NewCounter()
		r.ended = append(r.ended, c)
		r.register(endedPrefix+reason.String(), c)
	}
	return r
}

func (r *Recorder) register(name string, metric any) {
	// The names are distinct constants, which Register takes without error.
	_ = r.registry.Register(name, metric)
}

// Gauge adds a value that is read when the metrics are.
func (r *Recorder) Gauge(name string, read func() int64) {
	r.register(name, metrics.NewFunctionalGauge(read))
}

// Begin counts a request that arrived.
func (r *Recorder) Begin() { r.open.Inc(1) }

// End counts a request that ended after d with an answer of the given bytes.
func (r *Recorder) End(reason descriptor.Reason, d time.Duration, bytes uint64) {
	r.open.Dec(1)
	r.ended[reason].Inc(1)
	r.bytes.Inc(int64(bytes))
	if reason == descriptor.Served {
		r.served.Update(d)
	}
}

// Attempt counts an attempt at a backend server.
func (r *Recorder) Attempt() { r.attempts.Inc(1) }

// Fault counts a failed attempt.
func (r *Recorder) Fault() { r.faults.Inc(1) }

// quantiles are those of the latency of served requests that are written.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Write writes all metrics as text in the usual exposition format: a name with an
// underscore for each dot, a value, and a label for the reason or the quantile.
func (r *Recorder) Write(w io.Writer) {
	var lines []string
	r.registry.Each(func(name string, metric any) { lines = append(lines, exposed(name, metric)...) })
	sort.Strings(lines)
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}

// exposed returns the lines of one metric.
func exposed(name string, metric any) []string {
	label := ""
	if base, reason, ok := strings.Cut(name, endedPrefix); ok && base == "" {
		name, label = "requests_ended", fmt.Sprintf("{reason=%q}", reason)
	}
	name = "monsoonswitch_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s%s %d", name, label, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.Timer:
		t := m.Snapshot()
		lines := []string{fmt.Sprintf("%s_seconds_count %d", name, t.Count())}
		for i, v := range t.Percentiles(quantiles) {
			lines = append(lines, fmt.Sprintf("%s_seconds{quantile=\"%g\"} %g", name, quantiles[i], v/float64(time.Second)))
		}
		return lines
	}
	return nil
}

// endedPrefix begins the names of the counts of ended requests by reason.
const endedPrefix = "ended."
