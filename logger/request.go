package logger

import (
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"monsoonswitch/descriptor"
)

const (
	// burstWindow is the time for which an unused quota accumulates.
	burstWindow = 3 * time.Second
	// omittedReportInterval is the least time between two reports of omitted requests.
	omittedReportInterval = 10 * time.Second
)

// quota is a token bucket: left is the number of requests that may be logged as of at.
type quota struct {
	left float64
	at   time.Time
}

// WithTime returns q as of now. rate is the number of requests added per second.
func (q quota) WithTime(now time.Time, rate float64) quota {
	burst := math.Max(1, rate*burstWindow.Seconds())
	if passed := now.Sub(q.at).Seconds(); passed > 0 && !q.at.IsZero() {
		q.left = math.Min(burst, q.left+rate*passed)
	} else if q.at.IsZero() {
		q.left = burst
	}
	q.at = now
	return q
}

// requestBudget decides which requests are logged.
type requestBudget struct {
	limits          RequestLimits
	mu              sync.Mutex
	notable, sample quota
	// omitted and omittedNotable count the requests that were not logged since
	// omittedSince.
	omitted, omittedNotable uint64
	omittedSince            time.Time
}

func (b *requestBudget) setLimits(v RequestLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = v
}

// admit reports whether a request is logged. If requests were omitted and
// omittedReportInterval has passed since the last report of them, it also returns and
// resets their counts; otherwise the counts are 0.
func (b *requestBudget) admit(now time.Time, notable bool) (admitted bool, omitted, omittedNotable uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notable = b.notable.WithTime(now, b.limits.Notable)
	b.sample = b.sample.WithTime(now, b.limits.Sampled)
	q := &b.sample
	if notable {
		q = &b.notable
	}
	if admitted = q.left >= 1; admitted {
		q.left--
	} else {
		b.omitted++
		if notable {
			b.omittedNotable++
		}
	}
	if b.omitted > 0 && now.Sub(b.omittedSince) >= omittedReportInterval {
		omitted, omittedNotable = b.omitted, b.omittedNotable
		b.omitted, b.omittedNotable, b.omittedSince = 0, 0, now
	}
	return admitted, omitted, omittedNotable
}

// LogRequest writes the events of a request, if the budget allows.
func (l *Logger) LogRequest(now time.Time, t descriptor.RequestTrace) {
	admitted, omitted, notable := l.requestBudget.admit(now, t.Notable())
	if omitted > 0 {
		l.entry.WithFields(logrus.Fields{
			"event": descriptor.NoteLogDropped, "requests": omitted, "notable": notable, "lines": l.Dropped(),
		}).Log(Catalogue[descriptor.NoteLogDropped].Level, Catalogue[descriptor.NoteLogDropped].Text)
	}
	if !admitted {
		return
	}
	for _, line := range t.Entries {
		l.logEntry(t, line)
	}
	e := Catalogue[descriptor.NoteEnded]
	l.entry.WithFields(logrus.Fields{
		"event": descriptor.NoteEnded, "at": t.At.Format(time.RFC3339Nano), "id": t.Label, "request": t.Request, "service": t.Service, "class": t.Class,
		"reason": t.Reason.String(), "outcome": t.Outcome.String(), "millis": millis(t.Latency), "target": millis(t.Target),
		"revision": t.Revision, "listed": t.BackendsRevision, "currentage": millis(t.ConfirmationAge),
	}).Log(e.Level, e.Text)
}

// logEntry writes one event of a request.
func (l *Logger) logEntry(t descriptor.RequestTrace, line descriptor.TraceEntry) {
	fields := logrus.Fields{
		"event": line.Number, "id": t.Label, "request": t.Request, "service": t.Service,
		"at": line.At.Format(time.RFC3339Nano), "queued": line.Queued, "inflight": line.InFlight,
	}
	if line.TimeLeft != 0 {
		fields["left"] = millis(line.TimeLeft)
	}
	if line.Backend != "" {
		fields["backend"] = line.Backend
		fields["attempt"] = line.Attempt
		fields["trust"] = roundToThousandths(line.ServeProbability)
		fields["load"] = roundToThousandths(line.Load)
	}
	if line.Status != 0 {
		fields["status"] = line.Status
	}
	if line.Cause != "" {
		fields["cause"] = line.Cause
	}
	e := Catalogue[line.Number]
	l.entry.WithFields(fields).Log(e.Level, e.Text)
}

func millis(d time.Duration) int64 { return d.Milliseconds() }

// roundToThousandths returns a value rounded to three decimals.
func roundToThousandths(v float64) float64 { return math.Round(v*1000) / 1000 }

// Dropped returns the number of lines that were dropped because the output was too slow
// or failed.
func (l *Logger) Dropped() uint64 { return l.writer.dropped.Load() }
