// Package recorder records the metrics of an instance.
package recorder

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"monsoonswitch/descriptor"
)

// Parameters of the exponentially decaying latency sample: the number of values, and the
// weight of recent ones.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Recorder records the metrics of one instance. It is safe for use by many goroutines.
type Recorder struct {
	registry metrics.Registry
	served   metrics.Timer
	// ended counts the ended requests by reason.
	ended []metrics.Counter
	// open is the number of requests in flight.
	open     metrics.Counter
	attempts metrics.Counter
	faults   metrics.Counter
	// mismatches counts the answers that belonged to other requests.
	mismatches metrics.Counter
	// withheld counts the connections that were closed because they must not carry a request.
	withheld metrics.Counter
	// relocations counts how often a request was located anew, because the configuration
	// changed before it was decided upon.
	relocations metrics.Counter
	bytes       metrics.Counter
	// quotas holds the numbers of decisions about quotas, or nil.
	quotas atomic.Pointer[descriptor.QuotaCounts]
	// panics counts the panics that were recovered.
	panics metrics.Counter
}

// New returns a recorder whose metrics are zero.
func New() *Recorder {
	r := &Recorder{registry: metrics.NewRegistry()}
	r.served = metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha)), metrics.NewMeter())
	r.open = metrics.NewCounter()
	r.attempts = metrics.NewCounter()
	r.faults = metrics.NewCounter()
	r.mismatches = metrics.NewCounter()
	r.withheld = metrics.NewCounter()
	r.relocations = metrics.NewCounter()
	r.panics = metrics.NewCounter()
	r.bytes = metrics.NewCounter()
	r.register("served", r.served)
	r.register("open", r.open)
	r.register("attempts", r.attempts)
	r.register("faults", r.faults)
	r.register("mismatches", r.mismatches)
	r.register("withheld", r.withheld)
	r.register("relocations", r.relocations)
	r.register("panics", r.panics)
	r.register("bytes", r.bytes)
	r.registerQuotas()
	for _, reason := range descriptor.Reasons() {
		c := metrics.NewCounter()
		r.ended = append(r.ended, c)
		r.register(endedPrefix+reason.String(), c)
	}
	return r
}

func (r *Recorder) register(name string, metric any) {
	// Register fails only on duplicate names, and all names are distinct constants.
	_ = r.registry.Register(name, metric)
}

// AddGauge adds a metric whose value is read when the metrics are written.
func (r *Recorder) AddGauge(name string, read func() int64) {
	r.register(name, metrics.NewFunctionalGauge(read))
}

// Begin counts a request that arrived.
func (r *Recorder) Begin() { r.open.Inc(1) }

// End counts a request that ended with a reason, after d and with an answer of the given
// number of bytes.
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

// Fault counts an attempt that failed without a complete answer. Attempts that a backend
// server refused, or whose answer is foreign or mismatched, are not counted.
func (r *Recorder) Fault() { r.faults.Inc(1) }

// Mismatch counts an answer that belonged to another request than the one waiting.
func (r *Recorder) Mismatch() { r.mismatches.Inc(1) }

// Withhold counts a connection that was closed because it must not carry a request.
func (r *Recorder) Withhold() { r.withheld.Inc(1) }

// Relocate counts a request that is located anew.
func (r *Recorder) Relocate() { r.relocations.Inc(1) }

// registerQuotas adds the counters of decisions about quotas.
func (r *Recorder) registerQuotas() {
	for name, count := range map[string]func(*descriptor.QuotaCounts) uint64{
		"granted":  func(c *descriptor.QuotaCounts) uint64 { return c.Granted },
		"used":     func(c *descriptor.QuotaCounts) uint64 { return c.Used },
		"static":   func(c *descriptor.QuotaCounts) uint64 { return c.Static },
		"returned": func(c *descriptor.QuotaCounts) uint64 { return c.Returned },
		"waited":   func(c *descriptor.QuotaCounts) uint64 { return c.Waited },
		"refused":  func(c *descriptor.QuotaCounts) uint64 { return c.Refused },
	} {
		r.AddGauge("quotas."+name, func() int64 {
			if c := r.quotas.Load(); c != nil {
				return int64(count(c))
			}
			return 0
		})
	}
}

// SetQuotas records the numbers of decisions about quotas since the start.
func (r *Recorder) SetQuotas(c descriptor.QuotaCounts) { r.quotas.Store(&c) }

// Panic counts a panic that was recovered.
func (r *Recorder) Panic() { r.panics.Inc(1) }

// quantiles are the written quantiles of the latency of served requests.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Write writes all metrics in the Prometheus text format. Dots and dashes in names become
// underscores, and reasons and quantiles become labels.
func (r *Recorder) Write(w io.Writer) {
	var lines []string
	r.registry.Each(func(name string, metric any) { lines = append(lines, expositionLines(name, metric)...) })
	sort.Strings(lines)
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}

// expositionLines returns the lines of one metric in the Prometheus text format.
func expositionLines(name string, metric any) []string {
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

// endedPrefix is the prefix of the names of the counters of ended requests by reason.
const endedPrefix = "ended."
